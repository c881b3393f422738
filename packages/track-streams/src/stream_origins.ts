/** Knows at which software version streams began, also those of other hosts. */
import {type Clock} from '@mimosatack/clock';
import {
  type BackendServerEntry,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {
  type CopyHost,
  HostRing,
  MAX_COPIES,
  StreamRate,
  findCopyCount,
} from './origin_copies.js';
import {ServiceVersions} from './service_versions.js';
import {
  type StreamId,
  type StreamOrigin,
  makeStreamId,
} from './stream_origin.js';
import {StreamOriginTable} from './stream_origin_table.js';
import {MAX_VIEW_AGE_MS} from './version_lease.js';
import {type RecordedVersions} from './version_record.js';
import {
  type AskStream,
  type StreamReply,
  type StreamsBegun,
} from './stream_messages.js';

/** A stream by the request that brought its first event. */
export interface StreamKey {
  requestId: string;
  team: TeamName | null;
}

export interface StreamQuery {
  /** Null if the caller does not say which request began the stream. */
  stream: StreamKey | null;
  /** The service that would continue the stream. */
  service: ServiceName;
}

/** How an origin became known. */
export type OriginSource =
  /** This host has begun the stream, or keeps a copy of its origin. */
  | 'own'
  /** Another host knows it. */
  | 'other-host'
  /** All servers of the service have run at one version for long enough. */
  | 'only-version'
  | 'unknown';

export interface OriginAnswer {
  origin: StreamOrigin | null;
  source: OriginSource;
  /** Hosts that were asked, and those that answered. */
  askedHosts: number;
  answers: number;
  /**
   * Age of the list of servers by which the service has an only version; null if it has
   * none by this host's list, or that was not asked for.
   */
  serversAgeMs: number | null;
}

export interface StreamOriginsOptions {
  clock: Clock;
  /** Whether no stream can have begun before this process started. */
  isFirstStart: boolean;
  /** All other hosts. */
  listHosts: () => readonly CopyHost[];
  /** Age of this host's list of servers. */
  serversAgeMs: () => number;
  send: (address: string, message: StreamsBegun) => void;
  /** Resolves with null if no answer comes in time. */
  ask: (address: string, ask: AskStream) => Promise<StreamReply | null>;
}

/** Longer than the record takes to be written and passed on. */
const MAX_RECORD_WAIT_MS = 1_000;

/**
 * Guards against a stream that goes on at a software version which did not begin it,
 * when a caller resumes it at another host, or at one that has restarted.
 *
 * While a service runs at one version, nothing is sent. Otherwise each host sends the
 * origins of its streams to a few others before their first event, and asks those for
 * streams that it does not know.
 */
export class StreamOrigins {
  readonly versions: ServiceVersions;
  private readonly own: StreamOriginTable;
  private readonly copies: StreamOriginTable;
  private readonly ring: HostRing;
  private readonly rate = new StreamRate();
  private readonly recordWaiters = new Set<() => void>();

  constructor(private readonly options: StreamOriginsOptions) {
    const {clock, listHosts} = options;
    this.own = new StreamOriginTable(clock);
    this.copies = new StreamOriginTable(clock);
    this.ring = new HostRing(listHosts);
    this.versions = new ServiceVersions({
      ...{clock, isFirstStart: options.isFirstStart},
      onMixed: service => this.sendAllOf(service),
    });
  }

  get knownStreams(): number {
    return this.own.size + this.copies.size;
  }

  updateServers(servers: readonly BackendServerEntry[]): void {
    this.versions.update(servers);
  }

  /** Applies the record in the store; see `ServiceVersions.applyRecord`. */
  applyRecord(services: RecordedVersions, isFromCopy: boolean): void {
    this.versions.applyRecord(services, isFromCopy);
    this.recordWaiters.forEach(check => check());
  }

  /** Whether the record in the store lets a stream begin at the software version. */
  mayBegin({service, softwareVersion}: StreamOrigin): boolean {
    return this.versions.mayBegin(service, softwareVersion);
  }

  /** Whether a stream may begin at the software version, or may as soon as it is recorded. */
  mayBeginSoon({service, softwareVersion}: StreamOrigin): boolean {
    return this.versions.findLeaseMs(service, softwareVersion) <= 0;
  }

  /**
   * Resolves once a stream may begin at the software version, or with false if that takes
   * too long. Guards against a version that is in no record when all hosts are lost, so
   * that a stream of it goes on at another.
   */
  async waitUntilRecorded(
    origin: StreamOrigin,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (this.mayBegin(origin)) return true;
    const {service, softwareVersion} = origin;
    const leaseMs = this.versions.findLeaseMs(service, softwareVersion);
    await new Promise<void>(resolve => {
      const finish = () => {
        timer.cancel();
        signal.removeEventListener('abort', finish);
        this.recordWaiters.delete(check);
        resolve();
      };
      const check = () => {
        if (this.mayBegin(origin)) finish();
      };
      const timer = this.options.clock.setTimer(
        MAX_RECORD_WAIT_MS + Math.max(0, leaseMs),
        finish,
      );
      signal.addEventListener('abort', finish, {once: true});
      this.recordWaiters.add(check);
      if (signal.aborted) finish();
    });
    // A host that can read no record serves all the same.
    return this.mayBegin(origin) || !this.versions.isRecordKnown;
  }

  /** Has to be called right before the caller receives the first event of an attempt. */
  record({requestId, team}: StreamKey, origin: StreamOrigin): void {
    const id = makeStreamId(requestId, team);
    this.own.record(id, origin);
    if (!this.versions.isMixed(origin.service)) return;
    const copyCount = findCopyCount(
      this.rate.record(this.options.clock.monotonicMs()),
    );
    this.sendCopies([id], origin, copyCount);
  }

  async find({stream, service}: StreamQuery): Promise<OriginAnswer> {
    const id = stream && makeStreamId(stream.requestId, stream.team);
    const known = id && (this.own.find(id) ?? this.copies.find(id));
    if (known) return makeAnswer(known, 'own');
    const softwareVersion = this.versions.findOnly(service);
    const only = softwareVersion === null ? null : {service, softwareVersion};
    const ageMs = only ? this.options.serversAgeMs() : Infinity;
    const serversAgeMs = Number.isFinite(ageMs) ? ageMs : null;
    if (only && ageMs <= MAX_VIEW_AGE_MS) {
      return {...makeAnswer(only, 'only-version'), serversAgeMs};
    }
    if (!id) return {...makeAnswer(null, 'unknown'), serversAgeMs};
    return {...(await this.askOthers(id, service, only)), serversAgeMs};
  }

  /** Called at the hosts that keep copies. */
  handleBegun({ids, service, softwareVersion}: StreamsBegun): void {
    ids.forEach(id => this.copies.record(id, {service, softwareVersion}));
  }

  handleAsk({id, service}: AskStream): StreamReply {
    const origin = this.own.find(id) ?? this.copies.find(id);
    const isMixed = this.versions.isMixed(service);
    const onlyVersion = this.versions.findOnly(service);
    const isCurrent = this.options.serversAgeMs() <= MAX_VIEW_AGE_MS;
    return {type: 'stream-reply', origin, isMixed, onlyVersion, isCurrent};
  }

  /**
   * @param only the version at which this host knows all servers of the service to run;
   *     used if the asked hosts agree, since this host's list may be old.
   */
  private async askOthers(
    id: StreamId,
    service: ServiceName,
    only: StreamOrigin | null,
  ): Promise<OriginAnswer> {
    const hosts = this.ring.listFollowing(id, MAX_COPIES);
    const replies = await this.collectReplies(hosts, {
      ...{type: 'ask-stream', id, service},
    });
    const origin = replies.find(reply => reply.origin)?.origin;
    const counts = {askedHosts: hosts.length, answers: replies.length};
    if (origin) {
      this.copies.record(id, origin);
      return {...makeAnswer(origin, 'other-host'), ...counts};
    }
    // The list may have changed meanwhile.
    const isStillOnly =
      only?.softwareVersion === this.versions.findOnly(service);
    const isKnown =
      only && isStillOnly && isAgreed(only, hosts.length, replies);
    const answer = isKnown
      ? makeAnswer(only, 'only-version')
      : makeAnswer(null, 'unknown');
    return {...answer, ...counts};
  }

  /** Resolves once a reply names the origin or all hosts have answered or failed. */
  private collectReplies(
    hosts: readonly CopyHost[],
    ask: AskStream,
  ): Promise<StreamReply[]> {
    const replies: StreamReply[] = [];
    return new Promise(resolve => {
      const asked = hosts.map(async ({peerAddress}) => {
        const reply = await this.options.ask(peerAddress, ask);
        if (reply) replies.push(reply);
        if (reply?.origin) resolve(replies);
      });
      void Promise.all(asked).then(() => resolve(replies));
    });
  }

  /** Streams that began while the service ran at one version are on no other host. */
  private sendAllOf(service: ServiceName): void {
    const byVersion = new Map<string, StreamId[]>();
    this.own.listOf(service).forEach(([id, {softwareVersion}]) => {
      const ids = byVersion.get(softwareVersion);
      if (ids) ids.push(id);
      else byVersion.set(softwareVersion, [id]);
    });
    byVersion.forEach((ids, softwareVersion) =>
      this.sendCopies(
        ids,
        {service, softwareVersion},
        findCopyCount(ids.length),
      ),
    );
  }

  private sendCopies(
    ids: readonly StreamId[],
    origin: StreamOrigin,
    copyCount: number,
  ): void {
    const idsByAddress = new Map<string, StreamId[]>();
    ids.forEach(id =>
      this.ring.listFollowing(id, copyCount).forEach(({peerAddress}) => {
        const known = idsByAddress.get(peerAddress);
        if (known) known.push(id);
        else idsByAddress.set(peerAddress, [id]);
      }),
    );
    idsByAddress.forEach((sent, address) =>
      this.options.send(address, {type: 'streams-begun', ...origin, ids: sent}),
    );
  }
}

/**
 * Whether half of the asked hosts know the same only version, one of them by a current list,
 * and none another. Without a current list all have to: those that do not answer may see
 * what the others are cut off from.
 */
function isAgreed(
  {softwareVersion}: StreamOrigin,
  askedHosts: number,
  replies: readonly StreamReply[],
): boolean {
  const agreeing = replies.filter(
    ({onlyVersion}) => onlyVersion === softwareVersion,
  );
  const isOpposed = replies.some(
    ({isMixed, onlyVersion}) =>
      isMixed || (onlyVersion !== null && onlyVersion !== softwareVersion),
  );
  if (isOpposed || agreeing.length === 0) return false;
  const isAnyCurrent = agreeing.some(({isCurrent}) => isCurrent);
  const neededHosts = isAnyCurrent ? askedHosts / 2 : askedHosts;
  return agreeing.length >= neededHosts;
}

function makeAnswer(
  origin: StreamOrigin | null,
  source: OriginSource,
): OriginAnswer {
  return {origin, source, askedHosts: 0, answers: 0, serversAgeMs: null};
}
