/** The plain service without its HTTP server. */
import {type Clock, SystemClock} from '@mimosatack/clock';
import {type LoadReport} from '@mimosatack/types';
import {
  type BackendCore,
  type BackendOptions,
} from '../shared/backend_server.js';
import {FaultSet} from '../shared/fault_set.js';
import {FreezeGate} from '../shared/freeze_gate.js';
import {type ControlTarget, type WorkFaults} from '../shared/http_server.js';
import {type JsonObject} from '../shared/input.js';
import {LaggingValue} from '../shared/lagging_value.js';

/** Settings of one service; each is also a command-line flag. */
export interface ServiceOptions extends BackendOptions {
  maxRunning: number;
  /** How long a call runs. */
  runMs: number;
  loadReportLagMs: number;
  /** The JSON body field by which runs are counted. */
  countedField: string;
}

export const DEFAULT_SERVICE_OPTIONS: ServiceOptions = {
  port: 0,
  backendServerId: 's1',
  hostId: '',
  pool: 'notify-app',
  failureDomain: 'hall-a',
  region: 'sask-central',
  platform: '',
  maxRunning: 64,
  runMs: 5,
  loadReportLagMs: 500,
  countedField: 'id',
};

/** Faults of one service. */
export interface ServiceFaults extends WorkFaults {
  /** Added to the run time of each call. */
  slowMs: number;
}

export interface ServiceCall {
  name: string;
  requestId: string | null;
  idempotencyKey: string | null;
  /** The raw body as text. */
  body: string;
}

/** One run of a call, as ground truth for tests. */
export interface RunObservation {
  name: string;
  requestId: string | null;
  idempotencyKey: string | null;
  /** The counted field as JSON text; null if absent or the body is not JSON. */
  fieldValue: string | null;
  startedMs: number;
  endedMs: number | null;
}

/** The response of `GET /control/observed` of a service. */
export interface ServiceObservation {
  backendServerId: string;
  runs: RunObservation[];
  runsByKey: Record<string, number>;
  runsByField: Record<string, number>;
}

/** A service whose calls take effect when they start to run. */
export class ServiceStandIn implements ControlTarget, BackendCore {
  readonly faults = new FaultSet<ServiceFaults>({
    cutNodes: [],
    resetBeforeRead: 0,
    resetAfterRead: 0,
    resetAfterRun: 0,
    slowMs: 0,
  });
  readonly gate: FreezeGate;
  readonly options: ServiceOptions;
  private runs: RunObservation[] = [];
  private runningCalls = 0;
  private readonly load: LaggingValue<number>;

  constructor(
    options: Partial<ServiceOptions> = {},
    readonly clock: Clock = new SystemClock(),
  ) {
    this.options = {...DEFAULT_SERVICE_OPTIONS, ...options};
    this.gate = new FreezeGate(clock);
    this.load = new LaggingValue(clock, this.options.loadReportLagMs, 0);
  }

  /** Runs a call; passes the JSON of the answer to `onDone`. */
  run(call: ServiceCall, onDone: (answer: object) => void): void {
    const {name, requestId, idempotencyKey, body} = call;
    const run: RunObservation = {
      name,
      requestId,
      idempotencyKey,
      fieldValue: readField(body, this.options.countedField),
      startedMs: this.clock.wallMs(),
      endedMs: null,
    };
    this.runs.push(run);
    this.changeRunning(1);
    const delayMs = this.options.runMs + this.faults.values.slowMs;
    this.clock.setTimer(delayMs, () =>
      this.gate.runWhenOpen(() => {
        run.endedMs = this.clock.wallMs();
        this.changeRunning(-1);
        onDone(expectedCallAnswer(call));
      }),
    );
  }

  readLoad(): LoadReport {
    const {value, ageMs} = this.load.read();
    const {maxRunning, runMs} = this.options;
    return {
      runningRequests: value,
      queuedRequests: 0,
      maxRunningRequests: maxRunning,
      tokensPerSecond: (value * 1000) / Math.max(1, runMs),
      ageMs,
    };
  }

  observe(): ServiceObservation {
    const {backendServerId} = this.options;
    return {
      backendServerId,
      runs: this.runs,
      runsByKey: countByValue(this.runs.map(run => run.idempotencyKey)),
      runsByField: countByValue(this.runs.map(run => run.fieldValue)),
    };
  }

  setFaults(input: JsonObject): void {
    this.faults.setFromJson(input);
  }

  reset(): void {
    this.faults.clear();
    this.gate.thaw();
    this.runs = [];
  }

  /** Ends all runs immediately, as in a process crash. */
  stop(): void {
    this.gate.close();
  }

  private changeRunning(delta: number): void {
    this.runningCalls += delta;
    this.load.set(this.runningCalls);
  }
}

/** The correct answer to a call, which depends only on the call. */
export function expectedCallAnswer({name, requestId, body}: ServiceCall) {
  return {name, requestId, echo: body};
}

function readField(body: string, field: string): string | null {
  try {
    const value = (JSON.parse(body) as JsonObject | null)?.[field];
    return value == null ? null : JSON.stringify(value);
  } catch {
    return null;
  }
}

function countByValue(
  keys: ReadonlyArray<string | null>,
): Record<string, number> {
  return keys.reduce<Record<string, number>>((counts, key) => {
    if (key !== null) counts[key] = (counts[key] ?? 0) + 1;
    return counts;
  }, {});
}
