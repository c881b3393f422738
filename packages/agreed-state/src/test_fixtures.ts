/** Builders of records and states for the tests of this package. */
import {
  type AgreedRecord,
  type BodyOf,
  type RecordBody,
  type SlotPlan,
  encodeBatch,
} from '@mimosatack/records';
import {AgreedState, type FoldedRecord} from './agreed_state.js';

/** Folds bodies one by one, each as a record and an append of its own. */
export class FoldBench {
  state = new AgreedState();
  readonly appends: Uint8Array[] = [];
  private counter = 0;

  /** Folds one body written by `author` and returns its verdict. */
  fold(body: RecordBody, author = 'node-1.aaaaaaaa'): FoldedRecord {
    return this.foldRecord(this.makeRecord(body, author));
  }

  foldRecord(record: AgreedRecord): FoldedRecord {
    const data = encodeBatch([record]);
    this.appends.push(data);
    const [folded] = this.state.foldAppend(this.state.nextOffset, data);
    if (!folded) throw new Error('nothing was folded');
    return folded;
  }

  makeRecord(body: RecordBody, author = 'node-1.aaaaaaaa'): AgreedRecord {
    this.counter += 1;
    return {
      recordId: `record-${this.counter}`,
      author,
      basisSequence: this.state.sequence,
      writtenAtMs: 0,
      operator: null,
      reason: null,
      body,
    };
  }
}

/** The verdict as one word: `valid`, or the reason why it is void. */
export function verdictOf({outcome}: FoldedRecord): string {
  return outcome.status === 'valid' ? 'valid' : outcome.reason;
}

export function makePut(
  kind: BodyOf<'put-document'>['kind'],
  id: string,
  content: Record<string, unknown>,
  expectedVersion = 0,
): BodyOf<'put-document'> {
  return {type: 'put-document', kind, id, expectedVersion, content};
}

export function makeTemplate(): Record<string, unknown> {
  return {
    team: 'pantry',
    parameters: {
      start: {type: 'time'},
      replicas: {type: 'number', default: 1, min: 1, max: 4},
    },
    event: {
      startsAt: '${start}',
      durationMinutes: 30,
      needs: [{model: 'lists', replicas: '${replicas}', maxSurge: 1}],
    },
  };
}

export function makeEvent(
  start: string,
  replicas = 1,
): Record<string, unknown> {
  return {team: 'pantry', template: 'window', parameters: {start, replicas}};
}

export function makeServer(
  backendServerId: string,
  options: Partial<BodyOf<'register-backend-server'>> = {},
): BodyOf<'register-backend-server'> {
  return {
    type: 'register-backend-server',
    backendServerId,
    hostId: backendServerId,
    baseUrl: 'http://10.0.0.1:8000',
    pool: 'runners',
    failureDomain: 'hall-a',
    region: 'central',
    fencing: 'refuses-old',
    accelerators: 8,
    memoryMib: 1000,
    ...options,
  };
}

/** The start of the event that `makeReadyBench` creates. */
export const START_MS = Date.parse('2027-01-01T10:00:00Z');

/** A state with a team, a model of 600 MiB, a template, an event, 2 servers. */
export function makeReadyBench(
  replicas = 1,
  server: Partial<BodyOf<'register-backend-server'>> = {},
): FoldBench {
  const bench = new FoldBench();
  bench.fold(makePut('team', 'pantry', {}));
  bench.fold(makePut('model', 'lists', makeModel()));
  bench.fold(makePut('template', 'window', makeTemplate()));
  const event = makeEvent('2027-01-01T10:00:00Z', replicas);
  bench.fold(makePut('event', 'saturday', event));
  bench.fold(makeServer('r1', server));
  bench.fold(makeServer('r2', server));
  return bench;
}

export function makeModel(): Record<string, unknown> {
  return {pool: 'runners', version: 'v1', memoryMib: 600};
}

export function makeSlot(
  slotId: string,
  backendServerId: string,
  options: Partial<SlotPlan> = {},
): SlotPlan {
  return {
    slotId,
    model: 'lists',
    version: 'v1',
    adapters: [],
    backendServerId,
    memoryMib: 600,
    stage: null,
    loadAtMs: START_MS - 5_000,
    storeMs: 500,
    untilMs: START_MS + 30 * 60_000,
    replaces: null,
    ...options,
  };
}

/** A plan for the event of `makeReadyBench`, as it stands in the state. */
export function makePlan(
  bench: FoldBench,
  slots: SlotPlan[],
  eventId = 'saturday',
): BodyOf<'decide-slots'> {
  const purpose = {for: 'event' as const, eventId};
  const {configuration, placement} = bench.state;
  return {
    type: 'decide-slots',
    purpose,
    targetRevision: configuration.findEvent(eventId)?.revision ?? 0,
    expectedPlan: placement.countPlans(purpose),
    slots,
  };
}

export function makeClaim(
  bench: FoldBench,
  backendServerId: string,
): BodyOf<'claim-steward'> {
  const claim = bench.state.stewardship.findClaim(backendServerId);
  return {
    type: 'claim-steward',
    backendServerId,
    expectedEpoch: claim?.epoch ?? 0,
    successors: [],
  };
}
