/**
 * The state that every node folds from the log. The same records in the same
 * order give the same state on every node: no clock, no random number and no
 * order of a map outside the log enters the rules.
 */
import {createHash} from 'node:crypto';
import {
  type AgreedRecord,
  type BodyOf,
  type DecodedRecord,
  decodeBatch,
} from '@mimosatack/records';
import {type LogOffset} from '@mimosatack/types';
import {pack, unpack} from 'msgpackr';
import {
  Configuration,
  type ConfigurationSnapshot,
} from './configuration/configuration.js';
import {type Outcome, VALID, makeVoid} from './outcome.js';
import {type RememberedId, RememberedIds} from './remembered_ids.js';
import {Placement, type PlacementSnapshot} from './placement/placement.js';
import {
  Stewardship,
  type StewardshipSnapshot,
} from './stewardship/stewardship.js';

/** The newest rules that this release can fold by. */
export const SUPPORTED_RULES_VERSION = 1;

/**
 * How many records back a record may have been written and still count. The
 * fold remembers record ids for this long, so a second copy of a record is
 * either remembered or too old to count: nothing takes effect twice.
 */
export const BASIS_HORIZON = 20_000;

/** After how many records tombstones beyond the horizon are dropped. */
const FORGET_STEP = 5_000;

/** One folded record with its verdict. */
export interface FoldedRecord {
  sequence: number;
  offset: LogOffset;
  record: AgreedRecord | null;
  recordId: string | null;
  outcome: Outcome;
}

/** The plain form of the whole state. */
interface StateSnapshot {
  form: number;
  rulesVersion: number;
  nextOffset: LogOffset;
  sequence: number;
  checkpointSequence: number;
  rememberedIds: RememberedId[];
  configuration: ConfigurationSnapshot;
  stewardship: StewardshipSnapshot;
  placement: PlacementSnapshot;
}

const SNAPSHOT_FORM = 1;

/** The replicated state: configuration, backend servers, decided replicas. */
export class AgreedState {
  configuration = new Configuration();
  stewardship = new Stewardship();
  placement = new Placement(this.configuration, this.stewardship);
  /** The offset of the next append to fold. */
  nextOffset: LogOffset = 0;
  /** How many records were folded; the last one has this number. */
  sequence = 0;
  rulesVersion = 1;
  private nextRulesVersion = 1;
  /** The sequence number that the newest noted checkpoint covers. */
  checkpointSequence = 0;
  private rememberedIds = new RememberedIds(BASIS_HORIZON);

  /** Whether this release knows the rules that are in force. */
  get isSupported(): boolean {
    return this.rulesVersion <= SUPPORTED_RULES_VERSION;
  }

  /**
   * Folds one append. Appends must come in order without a gap; an append
   * that was folded before is passed over, and so is everything once rules
   * are in force that this release does not know.
   */
  foldAppend(offset: LogOffset, data: Uint8Array): FoldedRecord[] {
    if (offset < this.nextOffset || !this.isSupported) return [];
    if (offset > this.nextOffset) {
      throw new RangeError(
        `Append ${offset} is not next; expected ${this.nextOffset}.`,
      );
    }
    const folded = decodeBatch(data).map(entry => this.foldOne(offset, entry));
    this.nextOffset = offset + 1;
    this.rulesVersion = this.nextRulesVersion;
    return folded;
  }

  private foldOne(offset: LogOffset, entry: DecodedRecord): FoldedRecord {
    this.sequence += 1;
    this.forgetOld();
    const record = 'record' in entry ? entry.record : null;
    const recordId = 'record' in entry ? entry.record.recordId : entry.recordId;
    const outcome =
      'record' in entry
        ? this.judge(entry.record)
        : makeVoid('unreadable', entry.error.message);
    return {sequence: this.sequence, offset, record, recordId, outcome};
  }

  private judge(record: AgreedRecord): Outcome {
    if (this.rememberedIds.has(record.recordId)) {
      return makeVoid('duplicate', 'The record was folded before.');
    }
    if (record.basisSequence < this.sequence - BASIS_HORIZON) {
      return makeVoid('stale-basis', 'The record was written too long ago.');
    }
    this.rememberedIds.add(record.recordId, this.sequence);
    return this.apply(record);
  }

  private apply(record: AgreedRecord): Outcome {
    const {body, author} = record;
    switch (body.type) {
      case 'put-document':
        return this.configuration.put(body, this.sequence);
      case 'delete-document':
        return this.deleteDocument(body);
      case 'register-backend-server':
        return this.stewardship.register(body);
      case 'remove-backend-server':
        this.placement.removeBackendServer(body.backendServerId);
        return this.stewardship.remove(body);
      case 'note-host-state':
        return this.stewardship.noteHostState(body);
      case 'drain-backend-server':
        return this.stewardship.drain(body);
      case 'decide-slots':
        return this.placement.decide(body, this.sequence);
      case 'end-slots':
        return this.placement.end(body);
      case 'extend-slots':
        return this.placement.extend(body);
      case 'release-slots':
        return this.placement.release(body);
      case 'claim-steward':
        return this.stewardship.claim(
          body,
          author,
          this.sequence,
          this.placement.listOn(body.backendServerId).map(s => s.slotId),
        );
      case 'yield-steward':
        return this.stewardship.yield(body, author);
      case 'clear-doubt':
        return this.stewardship.clearDoubt(body, author);
      case 'note-checkpoint':
        return this.noteCheckpoint(body);
      case 'activate-rules':
        return this.activateRules(body.rulesVersion);
    }
  }

  private noteCheckpoint(body: BodyOf<'note-checkpoint'>): Outcome {
    if (body.coversSequence <= this.checkpointSequence) {
      return makeVoid('duplicate', 'A newer checkpoint was noted.');
    }
    this.checkpointSequence = body.coversSequence;
    return VALID;
  }

  private deleteDocument(body: BodyOf<'delete-document'>): Outcome {
    const outcome = this.configuration.delete(body, this.sequence);
    if (body.kind === 'event') this.placement.forgetEvent(body.id);
    return outcome;
  }

  /**
   * Guards against two releases that would fold the same record differently:
   * new rules hold only from the next append on, and a node that does not know
   * them stops folding there instead of going its own way.
   */
  private activateRules(version: number): Outcome {
    if (version <= this.nextRulesVersion) {
      return makeVoid('version-conflict', 'These rules are in force already.');
    }
    this.nextRulesVersion = version;
    return VALID;
  }

  /** Tombstones go in steps, since dropping a few at a time is slow. */
  private forgetOld(): void {
    this.rememberedIds.advanceTo(this.sequence);
    if (this.sequence % FORGET_STEP !== 0) return;
    this.configuration.forgetTombstonesBefore(this.sequence - BASIS_HORIZON);
  }

  /** The whole state as bytes; equal states give equal bytes. */
  toBytes(): Uint8Array {
    const snapshot: StateSnapshot = {
      form: SNAPSHOT_FORM,
      rulesVersion: this.rulesVersion,
      nextOffset: this.nextOffset,
      sequence: this.sequence,
      checkpointSequence: this.checkpointSequence,
      rememberedIds: this.rememberedIds.list(),
      configuration: this.configuration.toSnapshot(),
      stewardship: this.stewardship.toSnapshot(),
      placement: this.placement.toSnapshot(),
    };
    return pack(snapshot);
  }

  /** Restores a state; throws a RangeError for bytes of an unknown form. */
  static fromBytes(data: Uint8Array): AgreedState {
    const snapshot = unpack(data) as StateSnapshot;
    if (snapshot?.form !== SNAPSHOT_FORM) {
      throw new RangeError('The checkpoint has an unknown form.');
    }
    const state = new AgreedState();
    state.rulesVersion = snapshot.rulesVersion;
    state.nextRulesVersion = snapshot.rulesVersion;
    state.nextOffset = snapshot.nextOffset;
    state.sequence = snapshot.sequence;
    state.checkpointSequence = snapshot.checkpointSequence;
    state.rememberedIds = RememberedIds.restore(
      BASIS_HORIZON,
      snapshot.rememberedIds,
    );
    state.configuration = Configuration.restore(snapshot.configuration);
    state.stewardship = Stewardship.restore(snapshot.stewardship);
    state.placement = Placement.restore(
      snapshot.placement,
      state.configuration,
      state.stewardship,
    );
    return state;
  }

  /** A short digest; two nodes at the same offset must show the same one. */
  digest(): string {
    return createHash('sha256').update(this.toBytes()).digest('hex');
  }
}
