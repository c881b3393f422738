/** Hashes prompt prefixes in the same way as the engines. */
import {createHash} from 'node:crypto';

/** Computes the prefix hashes that engines publish in cache events. */
export interface PrefixHasher {
  /** Returns one hash per complete block; each also covers all blocks before. */
  hash(promptText: string): string[];
}

const BLOCK_CHARS = 64;
const DIGEST_CHARS = 16;
/** Later blocks are not hashed, which bounds the work per request. */
const MAX_BLOCKS = 32;

/** Hashes blocks of 64 characters with SHA-256. */
export class Sha256PrefixHasher implements PrefixHasher {
  hash(promptText: string): string[] {
    const whole = Math.floor(promptText.length / BLOCK_CHARS);
    const running = createHash('sha256');
    return Array.from({length: Math.min(whole, MAX_BLOCKS)}, (_, index) => {
      const startIndex = index * BLOCK_CHARS;
      running.update(promptText.slice(startIndex, startIndex + BLOCK_CHARS));
      return running.copy().digest('hex').slice(0, DIGEST_CHARS);
    });
  }
}
