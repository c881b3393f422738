/**
 * The replicated state, computed by applying log records in order. The rules
 * read no clock, no random numbers and no iteration order that the log does
 * not determine, so every node computes the same state.
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
import {type RecordOutcome, VALID, makeVoid} from './outcome.js';
import {type RecordIdEntry, RecentRecordIds} from './recent_record_ids.js';
import {Placement, type PlacementSnapshot} from './placement/placement.js';
import {
  Stewardship,
  type StewardshipSnapshot,
} from './stewardship/stewardship.js';

/** The newest rules version that this release supports. */
export const SUPPORTED_RULES_VERSION = 1;

/**
 * Maximum age of a record's basis, in records. Record ids are kept for the same
 * number of records, so a duplicate is either recognized by its id or void as
 * too old.
 */
export const MAX_BASIS_AGE_RECORDS = 20_000;

const TOMBSTONE_PRUNE_INTERVAL = 5_000;

/** A log record and the outcome of applying it. */
export interface FoldedRecord {
  sequence: number;
  offset: LogOffset;
  /** Null if the record cannot be decoded. */
  record: AgreedRecord | null;
  recordId: string | null;
  outcome: RecordOutcome;
}

/** The serialized form of the whole state. */
interface StateSnapshot {
  form: number;
  rulesVersion: number;
  nextOffset: LogOffset;
  sequence: number;
  checkpointSequence: number;
  rememberedIds: RecordIdEntry[];
  configuration: ConfigurationSnapshot;
  stewardship: StewardshipSnapshot;
  placement: PlacementSnapshot;
}

const SNAPSHOT_FORMAT = 1;

/** The replicated state: configuration, backend servers and slots. */
export class AgreedState {
  configuration = new Configuration();
  stewardship = new Stewardship();
  placement = new Placement(this.configuration, this.stewardship);
  /** The offset of the next append to apply. */
  nextOffset: LogOffset = 0;
  /** Sequence number of the last applied record, counted from 1. */
  sequence = 0;
  rulesVersion = 1;
  private nextRulesVersion = 1;
  /** The last sequence number that the newest recorded checkpoint covers. */
  checkpointSequence = 0;
  private recentRecordIds = new RecentRecordIds(MAX_BASIS_AGE_RECORDS);

  /** Whether this release supports the active rules version. */
  get isSupported(): boolean {
    return this.rulesVersion <= SUPPORTED_RULES_VERSION;
  }

  /**
   * Applies one append. Appends must arrive in order without gaps. An append
   * that was already applied is skipped, and so is every append after a rules
   * version that this release does not support becomes active.
   */
  foldAppend(offset: LogOffset, data: Uint8Array): FoldedRecord[] {
    if (offset < this.nextOffset || !this.isSupported) return [];
    if (offset > this.nextOffset) {
      throw new RangeError(
        `Append ${offset} is not next; expected ${this.nextOffset}.`,
      );
    }
    const applied = decodeBatch(data).map(entry =>
      this.applyEntry(offset, entry),
    );
    this.nextOffset = offset + 1;
    this.rulesVersion = this.nextRulesVersion;
    return applied;
  }

  private applyEntry(offset: LogOffset, entry: DecodedRecord): FoldedRecord {
    this.sequence += 1;
    this.expireOldEntries();
    const record = 'record' in entry ? entry.record : null;
    const recordId = 'record' in entry ? entry.record.recordId : entry.recordId;
    const outcome =
      'record' in entry
        ? this.applyOnce(entry.record)
        : makeVoid('unreadable', entry.error.message);
    return {sequence: this.sequence, offset, record, recordId, outcome};
  }

  private applyOnce(record: AgreedRecord): RecordOutcome {
    if (this.recentRecordIds.has(record.recordId)) {
      return makeVoid('duplicate', 'The record was folded before.');
    }
    if (record.basisSequence < this.sequence - MAX_BASIS_AGE_RECORDS) {
      return makeVoid('stale-basis', 'The record was written too long ago.');
    }
    this.recentRecordIds.add(record.recordId, this.sequence);
    return this.apply(record);
  }

  private apply(record: AgreedRecord): RecordOutcome {
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
          this.placement
            .listOnBackendServer(body.backendServerId)
            .map(s => s.slotId),
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

  private noteCheckpoint(body: BodyOf<'note-checkpoint'>): RecordOutcome {
    if (body.coversSequence <= this.checkpointSequence) {
      return makeVoid('duplicate', 'A newer checkpoint was noted.');
    }
    this.checkpointSequence = body.coversSequence;
    return VALID;
  }

  private deleteDocument(body: BodyOf<'delete-document'>): RecordOutcome {
    const outcome = this.configuration.delete(body, this.sequence);
    if (body.kind === 'event') this.placement.dropPlanCount(body.id);
    return outcome;
  }

  /**
   * Activates a rules version from the next append on. A node whose release
   * does not support the version stops there instead of computing a different
   * state.
   */
  private activateRules(version: number): RecordOutcome {
    if (version <= this.nextRulesVersion) {
      return makeVoid('version-conflict', 'These rules are in force already.');
    }
    this.nextRulesVersion = version;
    return VALID;
  }

  /** Prunes tombstones at intervals because each pruning scans all of them. */
  private expireOldEntries(): void {
    this.recentRecordIds.advanceTo(this.sequence);
    if (this.sequence % TOMBSTONE_PRUNE_INTERVAL !== 0) return;
    this.configuration.dropTombstonesBefore(
      this.sequence - MAX_BASIS_AGE_RECORDS,
    );
  }

  /** Serializes the state; equal states give equal bytes. */
  toBytes(): Uint8Array {
    const snapshot: StateSnapshot = {
      form: SNAPSHOT_FORMAT,
      rulesVersion: this.rulesVersion,
      nextOffset: this.nextOffset,
      sequence: this.sequence,
      checkpointSequence: this.checkpointSequence,
      rememberedIds: this.recentRecordIds.list(),
      configuration: this.configuration.toSnapshot(),
      stewardship: this.stewardship.toSnapshot(),
      placement: this.placement.toSnapshot(),
    };
    return pack(snapshot);
  }

  /** Restores a state; throws a RangeError if the format is unknown. */
  static fromBytes(data: Uint8Array): AgreedState {
    const snapshot = unpack(data) as StateSnapshot;
    if (snapshot?.form !== SNAPSHOT_FORMAT) {
      throw new RangeError('The checkpoint has an unknown form.');
    }
    const state = new AgreedState();
    state.rulesVersion = snapshot.rulesVersion;
    state.nextRulesVersion = snapshot.rulesVersion;
    state.nextOffset = snapshot.nextOffset;
    state.sequence = snapshot.sequence;
    state.checkpointSequence = snapshot.checkpointSequence;
    state.recentRecordIds = RecentRecordIds.restore(
      MAX_BASIS_AGE_RECORDS,
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

  /** SHA-256 of the state; nodes at the same offset must have equal digests. */
  digest(): string {
    return createHash('sha256').update(this.toBytes()).digest('hex');
  }
}
