/** Builds logs of a given size for measurements. */
import {type AgreedRecord, type RecordBody} from '@mimosatack/records';

/** Number of objects of each kind. */
export interface WorkloadSize {
  models: number;
  adaptersPerModel: number;
  servers: number;
  /** Events that are planned or running at the same time. */
  openEvents: number;
  /** All records, including those that create documents and servers. */
  records: number;
}

const START_MS = Date.parse('2027-01-01T00:00:00Z');
const EVENT_MS = 30 * 60_000;
const MODEL_MIB = 16_384;
const SERVER_MIB = 655_360;
const FAILURE_DOMAIN_COUNT = 8;

/** Builds valid records that publish, plan, end and delete events. */
export class WorkloadBuilder {
  readonly records: AgreedRecord[] = [];
  private readonly epochs = new Map<string, number>();
  private eventCount = 0;

  constructor(private readonly size: WorkloadSize) {
    this.addDocuments();
    this.addServers();
  }

  /** Adds complete event lifecycles until there are enough records. */
  build(): AgreedRecord[] {
    while (this.records.length < this.size.records) this.addEvent();
    return this.records;
  }

  private addDocuments(): void {
    this.put('team', 'pantry', {});
    range(this.size.models).forEach(index =>
      this.put('model', `model-${index}`, {
        pool: 'runners',
        version: 'v1',
        memoryMib: MODEL_MIB,
        adapters: Object.fromEntries(
          range(this.size.adaptersPerModel).map(adapter => [
            `adapter-${adapter}`,
            {memoryMib: 256},
          ]),
        ),
      }),
    );
    this.put('template', 'window', {
      team: 'pantry',
      parameters: {start: {type: 'time'}, model: {type: 'string'}},
      event: {
        startsAt: '${start}',
        durationMinutes: EVENT_MS / 60_000,
        needs: [{model: '${model}', replicas: 1}],
      },
    });
  }

  private addServers(): void {
    range(this.size.servers).forEach(index => {
      const backendServerId = `runner-${index}`;
      this.add({
        type: 'register-backend-server',
        backendServerId,
        hostId: backendServerId,
        baseUrl: `http://10.0.${index >> 8}.${index & 255}:8000`,
        pool: 'runners',
        failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
        region: 'central',
        fencing: 'refuses-old',
        accelerators: 8,
        memoryMib: SERVER_MIB,
      });
      this.add({
        type: 'claim-steward',
        backendServerId,
        expectedEpoch: 0,
        successors: [],
      });
      this.epochs.set(backendServerId, this.records.length);
    });
  }

  private addEvent(): void {
    const index = this.eventCount++;
    const eventId = `event-${index}`;
    const startMs = START_MS + index * 1000;
    const model = `model-${index % this.size.models}`;
    const start = new Date(startMs).toISOString();
    this.put('event', eventId, {
      team: 'pantry',
      template: 'window',
      parameters: {start, model},
    });
    this.add({
      type: 'decide-slots',
      purpose: {for: 'event', eventId},
      targetRevision: this.records.length,
      expectedPlan: 0,
      slots: [
        {
          slotId: `slot-${index}`,
          model,
          version: 'v1',
          adapters: [],
          backendServerId: this.serverOf(index),
          memoryMib: MODEL_MIB,
          stage: null,
          loadAtMs: startMs - 5_000,
          storeMs: 500,
          untilMs: startMs + EVENT_MS,
          replaces: null,
        },
      ],
    });
    if (index >= this.size.openEvents) {
      this.endEvent(index - this.size.openEvents);
    }
  }

  private endEvent(index: number): void {
    const slotIds = [`slot-${index}`];
    const backendServerId = this.serverOf(index);
    this.add({type: 'end-slots', slotIds, reason: 'event-over'});
    this.add({
      type: 'release-slots',
      backendServerId,
      epoch: this.epochs.get(backendServerId) ?? 0,
      slotIds,
    });
    this.add({
      type: 'delete-document',
      kind: 'event',
      id: `event-${index}`,
      expectedVersion: 1,
    });
  }

  private serverOf(index: number): string {
    return `runner-${index % this.size.servers}`;
  }

  private put(
    kind: 'team' | 'model' | 'template' | 'event',
    id: string,
    content: Record<string, unknown>,
  ): void {
    this.add({type: 'put-document', kind, id, expectedVersion: 0, content});
  }

  private add(body: RecordBody): void {
    this.records.push({
      recordId: `node-1.abcdef12-${this.records.length}`,
      author: 'node-1.abcdef12',
      basisSequence: this.records.length,
      writtenAtMs: START_MS,
      operator: 'ops/anna',
      reason: null,
      body,
    });
  }
}

function range(count: number): number[] {
  return Array.from({length: count}, (_unused, index) => index);
}
