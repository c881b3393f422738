import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {InMemoryNetwork} from './in_memory_network.js';
import {type MemberInfo, isNewer} from './member.js';
import {membershipMessageSchema} from './messages.js';
import {MINUTE_MS, SEEDS, createInfo, nameOf} from './network_fixture.js';
import {rankMembers} from './rank_members.js';

const messageTests = suite('messages, precedence and ranking');

messageTests(
  'the schema rejects malformed messages and accepts sent ones',
  () => {
    const network = new InMemoryNetwork();
    const refused: string[] = [];
    const seen = new Set<string>();
    network.onSend = ({message}) => {
      seen.add(message.type);
      if (!membershipMessageSchema.safeParse(message).success) {
        refused.push(message.type);
      }
    };
    [0, 1, 2, 3].forEach(index =>
      network.start({info: createInfo(index), seeds: SEEDS}),
    );
    network.run(MINUTE_MS);
    assert.equal(refused, []);
    assert.ok(seen.size >= 5);
    const malformed: unknown[] = [
      null,
      {},
      {type: 'vote'},
      {type: 'probe', sequence: -1, updates: []},
      {type: 'probe', sequence: 1, updates: [{nodeName: 'a'}]},
      {type: 'sync-digests', digests: [1]},
    ];
    malformed.forEach(message =>
      assert.not.ok(membershipMessageSchema.safeParse(message).success),
    );
  },
);

messageTests(
  'precedence is by process start, then counter, then status',
  () => {
    const base = {nodeName: 'a', startedAtMs: 1, counter: 1};
    const ordered = [
      {...base, status: 'alive'},
      {...base, status: 'suspect'},
      {...base, status: 'leaving'},
      {...base, status: 'gone'},
      {...base, counter: 2, status: 'alive'},
      {...base, startedAtMs: 2, counter: 0, status: 'alive'},
    ] as const;
    ordered.slice(1).forEach((update, index) => {
      assert.ok(isNewer(update, ordered[index]!));
      assert.not.ok(isNewer(ordered[index]!, update));
    });
  },
);

messageTests('ranking ignores the input order and moves few keys', () => {
  const members = Array.from({length: 10}, (_, index) => createInfo(index));
  const keys = Array.from({length: 1000}, (_, index) => `key-${index}`);
  const first = (key: string, among: MemberInfo[]) =>
    rankMembers(key, among)[0]!.nodeName;
  assert.equal(
    rankMembers('key', [...members].reverse()),
    rankMembers('key', members),
  );
  const kept = members.slice(1);
  const moved = keys.filter(key => first(key, members) !== first(key, kept));
  assert.ok(moved.every(key => first(key, members) === nameOf(0)));
  assert.ok(moved.length > 50 && moved.length < 150);
});

messageTests.run();
