/**
 * The registered backend servers and their stewards, the nodes that may send
 * orders to them. The claim with the highest epoch is in force. An epoch is the
 * sequence number of the claim's record, so epochs increase across all servers.
 */
import {type BodyOf} from '@mimosatack/records';
import {
  type BackendServerId,
  type FencingSupport,
  type NodeIncarnation,
} from '@mimosatack/types';
import {type RecordOutcome, VALID, makeVoid} from '../outcome.js';

export interface BackendServer {
  backendServerId: BackendServerId;
  hostId: string;
  baseUrl: string;
  pool: string;
  failureDomain: string;
  region: string;
  fencing: FencingSupport;
  accelerators: number;
  memoryMib: number;
}

/** The claim of a node to be the steward of a backend server. */
export interface StewardClaim {
  holder: NodeIncarnation;
  epoch: number;
  successors: NodeIncarnation[];
  /** The holder yielded the claim and has no orders in flight. */
  isYielded: boolean;
}

/**
 * Slots that a former holder may still load, because the engine does not reject
 * old fencing tokens. They count as loaded until the doubt is cleared.
 */
export interface InDoubtClaim {
  formerHolder: NodeIncarnation;
  epoch: number;
  slotIds: string[];
}

interface ServerEntry {
  server: BackendServer;
  claim: StewardClaim | null;
  doubts: InDoubtClaim[];
  isDraining: boolean;
  isLeaving: boolean;
}

/** The serialized form of the entries, for checkpoints. */
export interface StewardshipSnapshot {
  entries: ServerEntry[];
}

/** The backend servers with their claims and doubts. */
export class Stewardship {
  private readonly entries = new Map<BackendServerId, ServerEntry>();

  static restore(snapshot: StewardshipSnapshot): Stewardship {
    const restored = new Stewardship();
    snapshot.entries.forEach(entry =>
      restored.entries.set(entry.server.backendServerId, entry),
    );
    return restored;
  }

  toSnapshot(): StewardshipSnapshot {
    return {entries: [...this.entries.values()]};
  }

  findBackendServer(id: BackendServerId): BackendServer | undefined {
    return this.entries.get(id)?.server;
  }

  listBackendServers(): BackendServer[] {
    return [...this.entries.values()].map(entry => entry.server);
  }

  findClaim(id: BackendServerId): StewardClaim | undefined {
    return this.entries.get(id)?.claim ?? undefined;
  }

  listInDoubtClaims(id: BackendServerId): InDoubtClaim[] {
    return this.entries.get(id)?.doubts ?? [];
  }

  isInDoubt(id: BackendServerId, slotId: string): boolean {
    return this.listInDoubtClaims(id).some(doubt =>
      doubt.slotIds.includes(slotId),
    );
  }

  isClaimInForce(id: BackendServerId, epoch: number): boolean {
    const claim = this.findClaim(id);
    return claim !== undefined && claim.epoch === epoch && !claim.isYielded;
  }

  register(body: BodyOf<'register-backend-server'>): RecordOutcome {
    const {type: _type, ...server} = body;
    const entry = this.entries.get(server.backendServerId);
    if (!entry) {
      this.entries.set(server.backendServerId, {
        server,
        claim: null,
        doubts: [],
        isDraining: false,
        isLeaving: false,
      });
      return VALID;
    }
    if (JSON.stringify(entry.server) === JSON.stringify(server)) {
      return makeVoid('duplicate', 'The backend server is registered so.');
    }
    entry.server = server;
    return VALID;
  }

  remove(body: BodyOf<'remove-backend-server'>): RecordOutcome {
    return this.entries.delete(body.backendServerId)
      ? VALID
      : makeVoid(
          'unknown-reference',
          `There is no backend server ${body.backendServerId}.`,
        );
  }

  /** Whether an operator stopped new work for the backend server. */
  isDraining(id: BackendServerId): boolean {
    return this.entries.get(id)?.isDraining ?? false;
  }

  /** Whether the platform reports that the host of the server is leaving. */
  isLeaving(id: BackendServerId): boolean {
    return this.entries.get(id)?.isLeaving ?? false;
  }

  drain(body: BodyOf<'drain-backend-server'>): RecordOutcome {
    return this.update(body.backendServerId, entry => {
      const hasChanged = entry.isDraining !== body.isDraining;
      entry.isDraining = body.isDraining;
      return hasChanged;
    });
  }

  noteHostState(body: BodyOf<'note-host-state'>): RecordOutcome {
    return this.update(body.backendServerId, entry => {
      const hasChanged = entry.isLeaving !== body.isLeaving;
      entry.isLeaving = body.isLeaving;
      return hasChanged;
    });
  }

  private update(
    id: BackendServerId,
    apply: (entry: ServerEntry) => boolean,
  ): RecordOutcome {
    const entry = this.entries.get(id);
    if (!entry) {
      return makeVoid('unknown-reference', `There is no backend server ${id}.`);
    }
    return apply(entry)
      ? VALID
      : makeVoid('version-conflict', 'It is in that state already.');
  }

  /** @param slotIds slots for which the former holder may have sent orders. */
  claim(
    body: BodyOf<'claim-steward'>,
    author: NodeIncarnation,
    sequence: number,
    slotIds: string[],
  ): RecordOutcome {
    const entry = this.entries.get(body.backendServerId);
    if (!entry) {
      return makeVoid(
        'unknown-reference',
        `There is no backend server ${body.backendServerId}.`,
      );
    }
    const currentEpoch = entry.claim?.epoch ?? 0;
    if (currentEpoch !== body.expectedEpoch) {
      return makeVoid(
        'stale-epoch',
        `${body.backendServerId} is held under epoch ${currentEpoch}.`,
      );
    }
    this.recordDoubt(entry, author, slotIds);
    entry.claim = {
      holder: author,
      epoch: sequence,
      successors: body.successors,
      isYielded: false,
    };
    return VALID;
  }

  yield(body: BodyOf<'yield-steward'>, author: NodeIncarnation): RecordOutcome {
    const claim = this.findClaim(body.backendServerId);
    if (claim?.epoch !== body.epoch || claim.holder !== author) {
      return makeVoid('stale-epoch', 'The author does not hold this epoch.');
    }
    claim.isYielded = true;
    return VALID;
  }

  clearDoubt(
    body: BodyOf<'clear-doubt'>,
    author: NodeIncarnation,
  ): RecordOutcome {
    const entry = this.entries.get(body.backendServerId);
    const doubt = entry?.doubts.find(other => other.epoch === body.epoch);
    if (!entry || !doubt) {
      return makeVoid('unknown-reference', 'There is no such doubt.');
    }
    if (body.evidence === 'acknowledged' && author !== doubt.formerHolder) {
      return makeVoid('stale-epoch', 'Only the former holder may say so.');
    }
    entry.doubts = entry.doubts.filter(other => other !== doubt);
    return VALID;
  }

  /**
   * Guards against a former holder that was only paused and sends an order
   * after the takeover. Unless the engine rejects old fencing tokens, the order
   * may still load a slot, so the slots keep their memory reserved.
   */
  private recordDoubt(
    entry: ServerEntry,
    author: NodeIncarnation,
    slotIds: string[],
  ): void {
    const former = entry.claim;
    const isWithoutDoubt =
      !former ||
      former.isYielded ||
      former.holder === author ||
      entry.server.fencing === 'refuses-old' ||
      slotIds.length === 0;
    if (isWithoutDoubt) return;
    entry.doubts.push({
      formerHolder: former.holder,
      epoch: former.epoch,
      slotIds,
    });
  }
}
