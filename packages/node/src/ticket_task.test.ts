import {SystemClock} from '@mimosatack/clock';
import {type Member} from '@mimosatack/membership';
import {generationAt} from '@mimosatack/unrepeatable';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type TicketMessage, ticketMessageSchemas} from './ticket_messages.js';
import {TicketTask} from './ticket_task.js';

const ANSWER = {
  statusCode: 200,
  contentType: 'text/plain',
  body: Buffer.from('sent'),
};

/**
 * Nodes that call each other without a network; `faults` counts the messages to
 * lose.
 */
function createNodes(names: readonly string[]) {
  const clock = new SystemClock();
  const tasks = new Map<string, TicketTask>();
  const faults = {pagesToLose: 0, answersToLose: 0};
  const request = async (peerAddress: string, message: TicketMessage) => {
    const isPage = message.type === 'ticket-page';
    if (isPage && faults.pagesToLose-- > 0) throw new Error('lost');
    const schema = ticketMessageSchemas.find(
      one => one.shape.type.value === message.type,
    );
    schema?.parse(message);
    const reply = tasks.get(peerAddress)?.receive(message);
    if (!reply) throw new Error('gone');
    if (isPage && faults.answersToLose-- > 0) throw new Error('lost');
    return reply;
  };
  names.forEach(name => {
    const peers = {
      listPeers: () =>
        [...tasks.keys()]
          .filter(other => other !== name)
          .map(other => ({nodeName: other, peerAddress: other}) as Member),
      request,
    };
    tasks.set(name, new TicketTask({clock, incarnation: name, peers}));
  });
  const find = (name: string) => tasks.get(name)!;
  const generation = generationAt(clock.wallMs());
  const run = (name: string, keyHash: string) =>
    find(name).table.runOnce(
      {
        keyHash,
        requestHash: 'same',
        generation,
        expiresAtMs: clock.monotonicMs() + 1_000,
      },
      () => Promise.resolve(ANSWER),
    );
  const ask = async (name: string, incarnation: string, keyHash: string) => {
    const query = {incarnation, generation, keyHash, requestHash: 'same'};
    return (await find(name).askSuccessors(query)).status;
  };
  return {tasks, faults, find, run, ask};
}

const test = suite('ticket task');

test('after a graceful stop, every node learns what ran', async () => {
  // Guards against an unknown outcome after a graceful stop, when one of the
  // heirs is gone as well.
  const {tasks, faults, find, run, ask} = createNodes(['a', 'b', 'c', 'd']);
  await run('a', 'k1');
  find('a').close();
  faults.answersToLose = 1;
  await find('a').handOver();
  tasks.delete('a');
  const names = [...tasks.keys()];
  for (const name of names) assert.is(await ask(name, 'a', 'k1'), 'ran');
  for (const name of names) assert.is(await ask(name, 'a', 'k2'), 'never-run');
  tasks.delete('b');
  assert.is(await ask('c', 'a', 'k1'), 'ran');
});

test('a table that was not handed over gives no verdict', async () => {
  const {tasks, faults, find, run, ask} = createNodes(['a', 'b', 'c']);
  await run('a', 'k1');
  find('a').close();
  faults.pagesToLose = Number.MAX_SAFE_INTEGER;
  await find('a').handOver();
  tasks.delete('a');
  assert.is(await ask('b', 'a', 'k1'), 'no-table');
  assert.is(await ask('c', 'a', 'k2'), 'no-table');
});

test.run();
