/** Keeps a record in the topic that every node reads when it starts. */
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type KeyedTopic} from '@mimosatack/keyed-store';

export interface StoredRecordOptions {
  topic: KeyedTopic;
  /** Not a valid node name. */
  key: string;
  /** Whether this node writes the record for all nodes. */
  isWriter: () => boolean;
  /** The value that should be stored; null for no record. */
  encode: () => Uint8Array | null;
  onFault: (error: TypedError) => void;
}

export class StoredRecord {
  /** Last value known to be in the store. */
  private stored: Uint8Array | null = null;
  private isWriting = false;
  /** How often a stored value was noted. */
  private notes = 0;

  constructor(private readonly options: StoredRecordOptions) {}

  /** Has to be called with each value that is read from the store. */
  noteStored(value: Uint8Array | null): void {
    this.stored = value;
    this.notes += 1;
  }

  /** Writes the record if it has changed; has to be called periodically. */
  async sync(): Promise<void> {
    const {topic, key, isWriter, encode, onFault} = this.options;
    // Refused calls are billed; the readers of the store find out when it is back.
    if (this.isWriting || !isWriter() || topic.contact.isLost) return;
    const value = encode();
    if (areEqual(value, this.stored)) return;
    this.isWriting = true;
    const {notes} = this;
    try {
      await topic.append([{key, value}]);
      // A value that was read meanwhile may be from a copy without this record.
      if (notes === this.notes) this.stored = value;
    } catch (thrown) {
      // The next call writes the record again.
      onFault(toTypedError(thrown));
    } finally {
      this.isWriting = false;
    }
  }
}

function areEqual(one: Uint8Array | null, other: Uint8Array | null): boolean {
  if (one === null || other === null) return one === other;
  return Buffer.from(one).equals(other);
}
