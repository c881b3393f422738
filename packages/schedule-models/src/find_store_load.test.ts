import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
} from '@mimosatack/fakes';
import {type BackendServerEntry, type ServiceSpec} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';

const test = suite('loads from the weight store');

const MODELS = ['hot', 'warm', 'rare', 'other'];
const STEP_MS = 20;

/** Each engine holds three of the models. */
function makeService(): ServiceSpec {
  const {engine, ...service} = makeEngineService();
  const [model] = engine?.models ?? [];
  if (!engine || !model) throw new Error('The service has no models.');
  const models = MODELS.map(name => ({...model, model: name}));
  return {...service, engine: {...engine, storeLoadsPerSecond: 7.5, models}};
}

function makeEngine(
  id: string,
  held: readonly string[],
  onDisk: readonly string[] = held,
): BackendServerEntry {
  return {
    ...makeEngineEntry(id),
    residents: held.map(model => ({model, version: 1, adapters: []})),
    near: {inHostMemory: [], onDisk: [...onDisk]},
  };
}

function makeRequest(askId: string, model: string, nowMs: number) {
  const request: ScheduledRequest = {
    ...{askId, model, service: ENGINE_SERVICE, adapter: null},
    ...{promptTokens: 800, outputTokens: 100, priority: 0},
    ...{arrivedAtMs: nowMs, dueAtMs: nowMs + 600, endsAtMs: nowMs + 2_400},
    ...{excluded: new Set(), allowed: null, nodeId: 'n1'},
  };
  return request;
}

/** Asks at `perSecond` for each model, and tells the orders that come of it. */
class Play {
  readonly scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  readonly loads: Array<{engineId: string; model: string; atMs: number}> = [];
  private nowMs = 0;
  private asked = 0;

  constructor(engines: readonly BackendServerEntry[]) {
    this.scheduler.configure([makeService()]);
    engines.forEach(engine => this.put(engine));
  }

  put(engine: BackendServerEntry): void {
    this.scheduler.putEngine(engine, this.nowMs);
    this.report(engine);
  }

  run(forMs: number, perSecond: Readonly<Record<string, number>>): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      Object.entries(perSecond).forEach(([model, rate]) => {
        if (this.nowMs % Math.round(1_000 / rate) < STEP_MS) this.ask(model);
      });
      this.decide();
    }
  }

  private ask(model: string): void {
    const askId = `r${(this.asked += 1)}`;
    this.scheduler.ask(makeRequest(askId, model, this.nowMs), this.nowMs);
  }

  /** Requests end at once; orders are accepted. */
  private decide(): void {
    this.scheduler.decide(this.nowMs).forEach(decision => {
      if (decision.kind === 'assign') {
        const {askId, engineId} = decision;
        this.scheduler.noteEnd(askId, engineId, 'served', this.nowMs);
      }
      if (decision.kind !== 'order') return;
      const {engineId, operation, model} = decision.order;
      if (operation === 'load') {
        this.loads.push({engineId, model, atMs: this.nowMs});
      }
      this.scheduler.noteOrderOutcome(engineId, 'accepted', this.nowMs);
    });
  }

  private report({id, residents}: BackendServerEntry): void {
    const told = residents.map(({model}) => ({model, adapters: []}));
    this.scheduler.noteReport(
      id,
      {orderCount: 0, isBusy: false, residents: told},
      this.nowMs,
    );
  }
}

const DEMAND = {hot: 10, warm: 3, rare: 0.4};

/*
 * The operators replace all engines in turn. A new one comes up empty, then an
 * old one leaves. Users of the most wanted model were refused for the 6 s of its
 * load once the last old engine was gone, since nothing was loaded before it was
 * missed, and while anybody waited for any model nothing was loaded ahead.
 */
test('a new empty engine is given the most wanted model at once', () => {
  const old = ['e1', 'e2'].map(id => makeEngine(id, ['hot', 'warm', 'rare']));
  const play = new Play(old);
  play.run(2_000, DEMAND);
  play.put(makeEngine('new', []));
  play.run(400, {...DEMAND, other: 10});
  const [first] = play.loads.filter(({engineId}) => engineId === 'new');
  assert.is(first?.model, 'hot');
  assert.ok((first?.atMs ?? Infinity) <= 2_200);
});

test('what lies near no engine goes before another copy', () => {
  const old = makeEngine('e1', ['hot', 'warm', 'rare']);
  const play = new Play([old]);
  play.run(2_000, DEMAND);
  play.put({...old, state: 'draining'});
  play.put(makeEngine('new1', []));
  play.put(makeEngine('new2', []));
  play.run(1_000, DEMAND);
  const models = play.loads.map(({model}) => model);
  assert.equal(models.slice(0, 2), ['hot', 'warm']);
});

test('an engine that can fill its memory by itself fetches nothing', () => {
  const play = new Play([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'rare']),
    makeEngine('e3', [], ['warm', 'rare', 'other']),
  ]);
  play.run(2_000, DEMAND);
  assert.equal(play.loads, []);
});

test('a calm engine makes no room for a copy that nobody needs', () => {
  const play = new Play([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'other']),
  ]);
  play.run(3_000, DEMAND);
  assert.equal(play.loads, []);
});

test.run();
