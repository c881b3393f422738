import {ManualClock, SystemClock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {MemoryLogService, waitUntil} from '@mimosatack/fakes';
import {LogFollower} from '@mimosatack/follow-log';
import {MemoryEventLogger} from '@mimosatack/logger';
import {LoadTimeEstimates, TimetablePolicy} from '@mimosatack/plan-warming';
import {SeededRandom} from '@mimosatack/random';
import {type RecordBody} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PlannerTask} from './planner_task.js';

const test = suite('planner task');

const START_MS = 3_600_000;
const LONG_MS = 60_000;
const MODEL_MIB = 100;

/** A node that consists of a follower and a planner. */
class PlanningNode {
  readonly clock = new ManualClock();
  readonly logger = new MemoryEventLogger();
  readonly follower: LogFollower;
  readonly task: PlannerTask;
  rank = 0;
  private slotCount = 0;

  constructor(
    readonly nodeName: string,
    log: MemoryLogService,
  ) {
    this.follower = new LogFollower({
      clock: new SystemClock(),
      random: new SeededRandom(1),
      logger: this.logger,
      log,
      stream: 'decisions',
      incarnation: `${nodeName}.aaaaaaaa`,
      longPollMs: LONG_MS,
      retryDelayMs: 5,
    });
    this.task = new PlannerTask(
      {
        clock: this.clock,
        logger: this.logger,
        follower: this.follower,
        board: new EngineBoard(),
        policy: new TimetablePolicy({coldStartWeight: 0.5, idleWeight: 0.5}),
        loadTimes: new LoadTimeEstimates(),
        findRank: () => this.rank,
        isLeaving: () => false,
        watchEngines: () => undefined,
        makeSlotId: () => `${nodeName}-s${(this.slotCount += 1)}`,
        submitTimeoutMs: LONG_MS,
      },
      () => undefined,
    );
  }

  async start(): Promise<void> {
    const appends = {pullAppends: () => Promise.resolve([])};
    await this.follower.start({states: [], appends});
  }

  async stop(): Promise<void> {
    await this.task.stop();
    await this.follower.stop();
  }

  async write(body: RecordBody): Promise<void> {
    const {outcome} = await this.follower.submit(body, {timeoutMs: LONG_MS});
    if (outcome.status === 'void') throw new Error(outcome.message);
  }

  put(kind: 'team' | 'model' | 'template' | 'event', id: string, content = {}) {
    const expectedVersion = 0;
    return this.write({
      type: 'put-document',
      kind,
      id,
      expectedVersion,
      content,
    });
  }

  listSlots() {
    return this.follower.state.placement.list();
  }
}

async function setUp(nodeCount = 1) {
  const log = new MemoryLogService();
  const nodes = Array.from(
    {length: nodeCount},
    (_unused, index) => new PlanningNode(`node-${index}`, log),
  );
  await Promise.all(nodes.map(node => node.start()));
  const node = nodes[0] as PlanningNode;
  await node.write({
    type: 'register-backend-server',
    backendServerId: 'r1',
    hostId: 'r1',
    baseUrl: 'http://127.0.0.1:1',
    pool: 'pool',
    failureDomain: 'domain',
    region: 'region',
    fencing: 'refuses-old',
    accelerators: 8,
    memoryMib: 2 * MODEL_MIB,
  });
  const model = {pool: 'pool', version: 'v1', memoryMib: MODEL_MIB};
  await node.put('team', 'team');
  await node.put('model', 'm1', model);
  await node.put('model', 'm2', model);
  const event = {startsAt: START_MS, durationMinutes: 10};
  const needs = [{model: 'm1', replicas: 1}];
  await node.put('template', 't', {team: 'team', event: {...event, needs}});
  return {
    log,
    nodes,
    node,
    publish: () => node.put('event', 'e', {team: 'team', template: 't'}),
    stop: () => Promise.all(nodes.map(each => each.stop())),
  };
}

function tickUntil(node: PlanningNode, condition: () => boolean) {
  return waitUntil('the plan', () => {
    node.task.post({type: 'tick'});
    return condition();
  });
}

test('decides the replicas of an event once, whoever plans it', async () => {
  // Guards against a surplus replica when two nodes plan the same event because
  // both rank themselves first after a membership change.
  const {nodes, node, publish, stop} = await setUp(2);
  await publish();
  const [, other] = nodes as [PlanningNode, PlanningNode];
  await waitUntil(
    'the log',
    () => other.follower.state.configuration.findEvent('e') !== undefined,
  );
  nodes.forEach(each => each.task.post({type: 'tick'}));
  await tickUntil(node, () => node.listSlots().length > 0);
  nodes.forEach(each => each.task.post({type: 'tick'}));
  await waitUntil('the log', () => other.listSlots().length > 0);
  assert.is(node.listSlots().length, 1);
  await stop();
});

test('ends the slots of an event that is cancelled', async () => {
  const {node, publish, stop} = await setUp();
  await publish();
  await tickUntil(node, () => node.listSlots().length > 0);
  await node.write({
    type: 'delete-document',
    kind: 'event',
    id: 'e',
    expectedVersion: 1,
  });
  await tickUntil(node, () => node.listSlots()[0]?.status === 'ending');
  await stop();
});

test('decides nothing while the log is down, and resumes after', async () => {
  // Guards against plans that pile up during an outage and are all written when
  // the log is back.
  const {log, node, stop} = await setUp();
  log.setDown(true);
  await waitUntil('the log', () => !node.follower.status.isLogReachable);
  node.task.post({type: 'demand', model: 'm2'});
  Array.from({length: 20}, () => node.task.post({type: 'tick'}));
  const appends = log.countRecords('decisions');
  log.setDown(false);
  await tickUntil(node, () => node.listSlots().length > 0);
  assert.is(log.countRecords('decisions'), appends + 1);
  assert.is(node.listSlots()[0]?.model, 'm2');
  await stop();
});

test('leaves an event to the higher-ranked node at first', async () => {
  const {node, publish, stop} = await setUp();
  node.rank = 1;
  await publish();
  node.task.post({type: 'tick'});
  await new Promise(resolve => setImmediate(resolve));
  assert.is(node.listSlots().length, 0);
  node.clock.advance(5_000);
  await tickUntil(node, () => node.listSlots().length > 0);
  await stop();
});

test('logs a shortage of room for replicas once', async () => {
  const {node, stop} = await setUp();
  const needs = [{model: 'm1', replicas: 3}];
  const event = {startsAt: START_MS, durationMinutes: 10, needs};
  await node.put('template', 'big', {team: 'team', event});
  await node.put('event', 'big', {team: 'team', template: 'big'});
  await tickUntil(node, () => node.task.listUnplaced().length > 0);
  await tickUntil(node, () => node.listSlots().length > 0);
  assert.equal(node.task.listUnplaced(), [
    {eventId: 'big', model: 'm1', replicas: 2},
  ]);
  assert.is(node.logger.fieldsOf('capacity-short').length, 1);
  await stop();
});

test.run();
