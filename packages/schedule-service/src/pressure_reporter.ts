/** Tells the scheduling node which plain servers require that it assigns their places. */
import {type Clock} from '@mimosatack/clock';
import {type NamedTerms, type ServerLoad} from '@mimosatack/serve-requests';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
} from '@mimosatack/types';
import {type ToHolderMessage} from './messages.js';

export interface PressureReporterOptions {
  clock: Clock;
  /** Whether teams share capacity; without teams, load requires nothing. */
  hasTeamShares: () => boolean;
  /** Returns false when no scheduling node is known. */
  sendToHolder: (message: ToHolderMessage) => boolean;
}

type Cause = Extract<ToHolderMessage, {type: 'pressure'}>['cause'];

/** Running and waiting requests per slot at which a request waits for a whole other one. */
const PRESSURE_PER_SLOT = 2;
/** A third of the time after which coordination without pressure ends. */
const REPEAT_INTERVAL_MS = 1_000;

export class PressureReporter {
  /** Services without models. */
  private readonly plainServices = new Set<ServiceName>();
  /** When a message was last sent, by service and cause or by server and value. */
  private readonly sentAtMs = new Map<string, number>();
  /** What servers have said, for the next scheduling node. */
  private readonly brittle = new Map<
    BackendServerId,
    {server: BackendServerEntry; perSecond: number}
  >();

  constructor(private readonly options: PressureReporterOptions) {}

  addPlainService(name: ServiceName): void {
    this.plainServices.add(name);
  }

  recordLoad(server: BackendServerEntry, load: ServerLoad): void {
    const {running, waiting, slots} = load;
    if (running + waiting < PRESSURE_PER_SLOT * slots) return;
    this.reportLoad(server, 'load');
  }

  recordRejection(server: BackendServerEntry): void {
    this.reportLoad(server, 'rejection');
  }

  recordTerms(
    server: BackendServerEntry,
    {brittlePerSecond, isLimited}: NamedTerms,
  ): void {
    if (!this.plainServices.has(server.service)) return;
    if (brittlePerSecond !== null) {
      this.brittle.set(server.id, {server, perSecond: brittlePerSecond});
      const key = `${server.id} ${server.startedAtMs} ${brittlePerSecond}`;
      this.send(key, server, 'brittle', brittlePerSecond);
    }
    if (isLimited) this.send(`${server.id} limit`, server, 'limit', null);
  }

  /** Tells a new scheduling node what servers have said recently. */
  repeatAll(): void {
    this.sentAtMs.clear();
    const known = [...this.brittle.values()];
    this.brittle.clear();
    known.forEach(({server, perSecond}) =>
      this.recordTerms(server, {brittlePerSecond: perSecond, isLimited: false}),
    );
  }

  private reportLoad(server: BackendServerEntry, cause: Cause): void {
    const {service} = server;
    if (!this.plainServices.has(service) || !this.options.hasTeamShares()) {
      return;
    }
    this.send(`${service} ${cause}`, server, cause, null);
  }

  private send(
    key: string,
    {id, service, startedAtMs}: BackendServerEntry,
    cause: Cause,
    brittlePerSecond: number | null,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = nowMs - (this.sentAtMs.get(key) ?? -Infinity);
    if (sinceMs < REPEAT_INTERVAL_MS) return;
    const isSent = this.options.sendToHolder({
      ...{type: 'pressure', service, serverId: id, startedAtMs},
      ...{cause, brittlePerSecond},
    });
    if (!isSent) return;
    this.removeOld(nowMs);
    this.sentAtMs.set(key, nowMs);
  }

  /** Guards against keys of servers that are gone. */
  private removeOld(nowMs: number): void {
    this.sentAtMs.forEach((atMs, key) => {
      if (nowMs - atMs >= REPEAT_INTERVAL_MS) this.sentAtMs.delete(key);
    });
  }
}
