/** Hashes of the start of a prompt, the same way engines publish them. */
import {createHash} from 'node:crypto';

/** Names the blocks at the start of a prompt as the engines do. */
export interface PrefixHasher {
  /** One hash for each whole block; each covers all before it. */
  hash(promptText: string): string[];
}

const BLOCK_CHARS = 64;
const DIGEST_CHARS = 16;
/** Blocks beyond this are not told apart, which bounds the work. */
const MAX_BLOCKS = 32;

/** SHA-256 over blocks of 64 characters. */
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
