// ONE: in a rolling restart, the node that took over last doesn't learn of the orders of the
// holder before the last one, and orders the same runners within the lease.
import {Agent} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {AdapterRunner} from '../adapter_runner.mjs';
import {call} from '../caller.mjs';
import {configuration, plainService, route} from '../config.mjs';
import {pause} from '../nodes.mjs';
import {HAS_TROUBLE, play} from '../scene.mjs';

const ENGINE = 'crew-assist';
const MODEL = 'm0';
const ADAPTERS = 40;
const LEASE_MS = 3_000;
/** `roll_term`: share = 0.45, x = 1, gap_s = 1.3. */
const GAP_MS = 1_300;
const RESTART_DELAY_MS = 200;
const TICK_MS = 15;
const ROLL_FROM_MS = 3_000;
const END_MS = 14_000;
const NAMES = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2', 'd-1', 'd-2', 'd-3'];
/** Two machines by name, then twice the one that leads (`how = "leader"`). */
const ROLLED = ['b-2', 'c-1', 'leader', 'leader'];
const DUTY_TOPIC = 'keyed.mimosatack-duty';

function makeConfiguration() {
  const engine = {
    ...{slots: 64, kv_capacity: 251073, mb: 220000, adapter_slots: 8},
    ...{host_mb: 150000, disk_mb: 1400000, loads_per_s: 3.5, stride: 5},
    models: [
      {
        ...{name: MODEL, mb: 72700, load_s: 6, warm_s: 0.47, disk_s: 0.64},
        ...{adapters: ADAPTERS, adapter_mb: 66},
      },
    ],
  };
  return configuration(
    7,
    [
      route('depot-note', '/note/', ENGINE, {
        ...{kind: 'streaming', resumable: true, max_attempts: 2, priority: 1},
        ...{timeout_ms: 5000, target_latency_ms: 500, gap_target_ms: 600},
      }),
    ],
    [{...plainService(ENGINE), max_conns: 370, engine}],
  );
}

/** The machine that last wrote to the store under a condition: the one that leads. */
function findNode(scene, which) {
  const [record] = [...scene.store.topic(DUTY_TOPIC).newest.values()];
  const {nodeName} = JSON.parse(record.value.toString('utf8'));
  const isLeader = which === 'leader';
  return scene.nodes.find(({name}) =>
    isLeader ? name === nodeName : name.endsWith(which),
  );
}

/** SIGTERM, and a new process once the old one has ended, as the platform does it. */
async function restart(node, scene, seeds) {
  scene.note('SIGTERM', node.name, Math.round(performance.now()));
  node.signal('SIGTERM');
  await node.exited;
  await pause(RESTART_DELAY_MS);
  if (scene.isOver) return;
  scene.note('start', node.name, Math.round(performance.now()));
  node.start(seeds);
}

async function run(scene) {
  const runners = ['i-e1', 'i-e2', 'i-e3', 'i-e4'].map(
    id => new AdapterRunner({id, service: ENGINE, model: MODEL, workMs: 40}),
  );
  await scene.start({
    ...{runners, configuration: makeConfiguration()},
    nodeNames: NAMES.map(name => `front-guj-west-${name}`),
    bounds: {require_fence: false, retry_slack: 58},
    startGapMs: 30,
  });
  await pause(5_000);
  const seeds = scene.nodes.slice(0, 3).map(({seed}) => seed);
  const agents = scene.nodes.map(() => new Agent({keepAlive: true}));
  const answers = [];
  const startMs = performance.now();
  const stopped = new Set();
  let rolled = 0;
  for (let tick = 0; ; tick += 1) {
    const atMs = performance.now() - startMs;
    if (atMs > END_MS) break;
    const isDue = atMs >= ROLL_FROM_MS + rolled * GAP_MS;
    if (HAS_TROUBLE && rolled < ROLLED.length && isDue) {
      const node = findNode(scene, ROLLED[rolled]);
      stopped.add(node);
      void restart(node, scene, seeds);
      rolled += 1;
    }
    // Clients use machines that aren't being restarted.
    const serving = scene.nodes.filter(one => !stopped.has(one));
    const node = serving[tick % serving.length];
    const at = scene.nodes.indexOf(node);
    answers.push(
      call({
        ...{ip: node.ip, port: node.ports.front, agent: agents[at]},
        ...{path: '/note/a', body: 'a route', requestId: `note-${tick}`},
        deadlineMs: 5_000,
        headers: {
          'Mimosatack-Model': `${MODEL}/a${1 + Math.floor(Math.random() * ADAPTERS)}`,
          'Mimosatack-Token-Counts': '60,5',
          'Mimosatack-Prompt-Prefix': '5c1e07a2:60',
        },
      }),
    );
    await pause(TICK_MS);
  }
  const ended = await Promise.all(answers);
  scene.isOver = true;
  await pause(RESTART_DELAY_MS);
  return judge(scene, ended);
}

/** ONE, where runners don't check fences: holders that take turns within `lease_ms`. */
function judge(scene, ended) {
  const statuses = {};
  ended.forEach(({status, why}) => {
    statuses[status ?? why] = (statuses[status ?? why] ?? 0) + 1;
  });
  let turns = 0;
  scene.runners.forEach(({id, orders}) =>
    orders.forEach((order, at) => {
      const {atMs, holder, fencingToken, operation, adapter, status} = order;
      scene.note(
        ...['order', id, 'at', atMs, 'holder', holder, 'token', fencingToken],
        ...[operation, adapter, status],
      );
      const before = orders[at - 1];
      if (!before || before.holder === holder) return;
      const gapMs = atMs - before.atMs;
      const word = gapMs < LEASE_MS ? 'ONE' : 'turn';
      const text = `${word} ${id}: ${holder} (token ${fencingToken}) ${gapMs} ms after ${before.holder} (token ${before.fencingToken})`;
      if (gapMs < LEASE_MS) turns += 1;
      scene.note(text);
      console.log(text);
    }),
  );
  scene.nodes.forEach(({name, lines}) =>
    lines
      .filter(
        ({eventName, isSelf}) => eventName === 'duty-holder-changed' && isSelf,
      )
      .forEach(({time, fencingToken, quietForMs}) =>
        scene.note(
          'holder',
          name,
          time,
          'token',
          fencingToken,
          'quiet',
          quietForMs,
        ),
      ),
  );
  console.log(ended.length, 'requests', JSON.stringify(statuses));
  return turns > 0;
}

await play(dirname(fileURLToPath(import.meta.url)), run);
