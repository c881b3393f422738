/** Writes checkpoints to a log stream and reads the newest one. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type LogPage, type LogService} from '@mimosatack/platform';
import {
  type CheckpointPart,
  assembleCheckpoint,
  decodePart,
  encodeCheckpoint,
} from './checkpoint_parts.js';

/** The number of appends per step of the backward scan. */
const SCAN_WINDOW = 64;

/** The checkpoints in one stream. */
export class CheckpointStore {
  constructor(
    private readonly log: LogService,
    private readonly stream: string,
  ) {}

  /**
   * Appends the parts of one checkpoint and resolves with their total size in
   * bytes. Rejects when an append fails; readers skip incomplete checkpoints.
   */
  async write(state: AgreedState): Promise<number> {
    const parts = await encodeCheckpoint(state);
    for (const part of parts) await this.log.append(this.stream, part);
    return parts.reduce((sizeBytes, part) => sizeBytes + part.length, 0);
  }

  /**
   * Reads the newest complete checkpoint; null when there is none. Rejects with
   * `platform-unavailable` when the log service is unavailable.
   */
  async readNewest(): Promise<AgreedState | null> {
    const {firstOffset, nextOffset} = await this.readBounds();
    let parts: CheckpointPart[] = [];
    for (let until = nextOffset; until > firstOffset; until -= SCAN_WINDOW) {
      const from = Math.max(firstOffset, until - SCAN_WINDOW);
      parts = [...(await this.readParts(from, until)), ...parts];
      const newest = await assembleNewest(parts);
      if (newest) return newest;
    }
    return null;
  }

  private async readBounds(): Promise<
    Pick<LogPage, 'firstOffset' | 'nextOffset'>
  > {
    try {
      return await this.readPage(0, 1);
    } catch (thrown) {
      return this.readPage(readFirstOffset(toTypedError(thrown)), 1);
    }
  }

  private async readParts(
    from: number,
    until: number,
  ): Promise<CheckpointPart[]> {
    const page = await this.readPage(from, until - from);
    const last = page.records.at(-1);
    const parts = page.records
      .map(record => decodePart(record.data))
      .filter(part => part !== null);
    const isComplete = !last || last.offset + 1 >= until;
    return isComplete
      ? parts
      : [...parts, ...(await this.readParts(last.offset + 1, until))];
  }

  private readPage(from: number, limit: number): Promise<LogPage> {
    return this.log.read({stream: this.stream, from, limit, waitMs: 0});
  }
}

/** Returns the newest checkpoint that can be assembled; null if there is none. */
async function assembleNewest(
  parts: readonly CheckpointPart[],
): Promise<AgreedState | null> {
  const byDigest = parts.reduce(
    (groups, part) =>
      groups.set(part.digest, [...(groups.get(part.digest) ?? []), part]),
    new Map<string, CheckpointPart[]>(),
  );
  const newestFirst = [...byDigest.values()].toSorted(
    (a, b) => (b[0]?.coversOffset ?? 0) - (a[0]?.coversOffset ?? 0),
  );
  for (const group of newestFirst) {
    const state = await assembleCheckpoint(group).catch(() => null);
    if (state) return state;
  }
  return null;
}

/** Reads the first offset of the stream from a `trimmed` error. */
function readFirstOffset(error: TypedError): number {
  const firstOffset = error.details.info?.['firstOffset'];
  if (error.kind === 'trimmed' && typeof firstOffset === 'number') {
    return firstOffset;
  }
  throw error;
}
