/** The keys that this process has begun to run, with their outcomes. */
import {createHash} from 'node:crypto';
import {TypedError, toTypedError} from '@mimosatack/errors';

/** An answer that is kept and given again for the same key. */
export interface KeptAnswer {
  statusCode: number;
  contentType: string;
  body: Buffer;
}

interface KeyEntry {
  bodyHash: string;
  answer: Promise<KeptAnswer>;
}

/** Runs each key at most once and gives its outcome to every later caller. */
export class KeyTable {
  private readonly entries = new Map<string, KeyEntry>();

  /**
   * Calls `run` unless the key was begun before. Rejects with `key-reused`
   * when the key comes with another body. A run that says `not-run` leaves the
   * key free, since nothing was handed to a backend server.
   */
  async runOnce(
    key: string,
    body: Buffer,
    run: () => Promise<KeptAnswer>,
  ): Promise<KeptAnswer> {
    const bodyHash = createHash('sha256').update(body).digest('base64url');
    const known = this.entries.get(key);
    if (known) {
      if (known.bodyHash === bodyHash) return known.answer;
      throw new TypedError(
        'key-reused',
        'The idempotency key was used with another body.',
      );
    }
    const answer = run();
    this.entries.set(key, {bodyHash, answer});
    answer.catch(thrown => {
      if (toTypedError(thrown).run === 'not-run') this.entries.delete(key);
    });
    return answer;
  }
}
