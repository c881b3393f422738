/** Compares two nodes' lists by digests, so that equal ones cost few bytes. */
import {hashNumbers, hashText} from './hashing.js';
import {type MemberUpdate} from './member.js';
import {BUCKET_COUNT} from './messages.js';

/** The group a member belongs to, the same on every node. */
export function bucketOf(nodeName: string): number {
  return hashText(nodeName) % BUCKET_COUNT;
}

/**
 * One digest a group. Gone members are left out, as every node forgets them
 * at another time; a suspicion is left out, as it ends by itself.
 */
export function digestBuckets(updates: readonly MemberUpdate[]): number[] {
  const digests = new Array<number>(BUCKET_COUNT).fill(0);
  updates
    .filter(update => update.status !== 'gone')
    .forEach(update => {
      const bucket = bucketOf(update.nodeName);
      digests[bucket] = (digests[bucket]! ^ digestOne(update)) >>> 0;
    });
  return digests;
}

/** One digest over all groups. */
export function digestAll(bucketDigests: readonly number[]): number {
  return hashNumbers(bucketDigests);
}

/** The groups in which two nodes differ. */
export function listDifferent(
  first: readonly number[],
  second: readonly number[],
): number[] {
  return first
    .map((digest, bucket) => ({digest, bucket}))
    .filter(({digest, bucket}) => digest !== second[bucket])
    .map(({bucket}) => bucket);
}

function digestOne(update: MemberUpdate): number {
  const status = update.status === 'suspect' ? 'alive' : update.status;
  const {nodeName, startedAtMs, counter} = update;
  return hashText([nodeName, startedAtMs, counter, status].join('\0'));
}
