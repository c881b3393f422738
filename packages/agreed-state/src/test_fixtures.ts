/** Builders of records and states for tests. */
import {
  type AgreedRecord,
  type BodyOf,
  type RecordBody,
  type SlotPlan,
  encodeBatch,
} from '@mimosatack/records';
import {AgreedState, type FoldedRecord} from './agreed_state.js';

/** Applies each body as one record in its own append. */
export class StateFixture {
  state = new AgreedState();
  readonly appends: Uint8Array[] = [];
  private recordCount = 0;

  apply(body: RecordBody, author = 'node-1.aaaaaaaa'): FoldedRecord {
    return this.applyRecord(this.makeRecord(body, author));
  }

  applyRecord(record: AgreedRecord): FoldedRecord {
    const data = encodeBatch([record]);
    this.appends.push(data);
    const [applied] = this.state.foldAppend(this.state.nextOffset, data);
    if (!applied) throw new Error('no record was applied');
    return applied;
  }

  makeRecord(body: RecordBody, author = 'node-1.aaaaaaaa'): AgreedRecord {
    this.recordCount += 1;
    return {
      recordId: `record-${this.recordCount}`,
      author,
      basisSequence: this.state.sequence,
      writtenAtMs: 0,
      operator: null,
      reason: null,
      body,
    };
  }
}

/** `valid`, or the reason why the record is void. */
export function outcomeCode({outcome}: FoldedRecord): string {
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

/** Start of the event that `makeReadyFixture` publishes. */
export const START_MS = Date.parse('2027-01-01T10:00:00Z');

/** A team, a model of 600 MiB, a template, an event and two servers. */
export function makeReadyFixture(
  replicas = 1,
  server: Partial<BodyOf<'register-backend-server'>> = {},
): StateFixture {
  const fixture = new StateFixture();
  fixture.apply(makePut('team', 'pantry', {}));
  fixture.apply(makePut('model', 'lists', makeModel()));
  fixture.apply(makePut('template', 'window', makeTemplate()));
  const event = makeEvent('2027-01-01T10:00:00Z', replicas);
  fixture.apply(makePut('event', 'saturday', event));
  fixture.apply(makeServer('r1', server));
  fixture.apply(makeServer('r2', server));
  return fixture;
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

/** A plan that is based on the current state. */
export function makePlan(
  fixture: StateFixture,
  slots: SlotPlan[],
  eventId = 'saturday',
): BodyOf<'decide-slots'> {
  const purpose = {for: 'event' as const, eventId};
  const {configuration, placement} = fixture.state;
  return {
    type: 'decide-slots',
    purpose,
    targetRevision: configuration.findEvent(eventId)?.revision ?? 0,
    expectedPlan: placement.countPlans(purpose),
    slots,
  };
}

export function makeClaim(
  fixture: StateFixture,
  backendServerId: string,
): BodyOf<'claim-steward'> {
  const claim = fixture.state.stewardship.findClaim(backendServerId);
  return {
    type: 'claim-steward',
    backendServerId,
    expectedEpoch: claim?.epoch ?? 0,
    successors: [],
  };
}
