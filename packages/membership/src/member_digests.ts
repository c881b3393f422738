/** Digests of member lists, to find differences without sending the lists. */
import {hashNumbers, hashText} from './hashing.js';
import {type MemberUpdate} from './member.js';
import {BUCKET_COUNT} from './messages.js';

/** Assigns a member to a bucket, the same on every node. */
export function bucketOf(nodeName: string): number {
  return hashText(nodeName) % BUCKET_COUNT;
}

/**
 * Returns one digest per bucket. Gone members are omitted because nodes drop
 * them at different times; suspects count as alive because suspicion is
 * temporary.
 */
export function digestBuckets(updates: readonly MemberUpdate[]): number[] {
  const digests = new Array<number>(BUCKET_COUNT).fill(0);
  updates
    .filter(update => update.status !== 'gone')
    .forEach(update => {
      const bucket = bucketOf(update.nodeName);
      digests[bucket] = (digests[bucket]! ^ digestUpdate(update)) >>> 0;
    });
  return digests;
}

export function digestOfBuckets(bucketDigests: readonly number[]): number {
  return hashNumbers(bucketDigests);
}

export function listDifferingBuckets(
  first: readonly number[],
  second: readonly number[],
): number[] {
  return first
    .map((digest, bucket) => ({digest, bucket}))
    .filter(({digest, bucket}) => digest !== second[bucket])
    .map(({bucket}) => bucket);
}

function digestUpdate(update: MemberUpdate): number {
  const status = update.status === 'suspect' ? 'alive' : update.status;
  const {nodeName, startedAtMs, counter} = update;
  return hashText([nodeName, startedAtMs, counter, status].join('\0'));
}
