/** A request pipeline with stand-ins for all that it depends on. */
import {type BackendConnections} from '@mimosatack/backend-connections';
import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceRoute,
} from '@mimosatack/types';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {type StreamLookup} from './continue_stream.js';
import {RequestPipeline} from './request_pipeline.js';
import {ResponseHeadTimes} from './response_head_times.js';
import {RetryAllowance} from './retry_allowance.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
} from './server_chooser.js';
import {makeServer, makeService} from './test_fixtures.js';

export class RecordingSink implements AnswerSink {
  readonly gone: AnswerSink['gone'] = new AbortController().signal;
  hasBegun = false;
  status = 0;
  error: TypedError | null = null;

  refuse(error: TypedError): void {
    this.error = error;
  }

  begin(status: number): void {
    this.hasBegun = true;
    this.status = status;
  }

  write(): boolean {
    return true;
  }

  onDrain(): void {}
  setHeldBack(): boolean {
    return true;
  }
  end(): void {}
  abort(): void {}
}

export interface PipelineFixtureOptions {
  routes: readonly ServiceRoute[];
  connections: BackendConnections;
  /** Null to refuse the request. */
  choose: (ask: ServerAsk) => BackendServerEntry | null | undefined;
  /** Time until a server may get requests, by id; 0 by default. */
  waits?: Readonly<Record<BackendServerId, number>>;
  streams?: StreamLookup;
  /** Whether the configuration was known to be the newest a short time ago. */
  isConfigurationRecent?: boolean;
}

export class PipelineFixture {
  readonly clock = new ManualClock();
  readonly logger = new MemoryEventLogger();
  readonly released: BackendServerId[] = [];
  readonly sink = new RecordingSink();
  private readonly pipeline: RequestPipeline;

  constructor(private readonly options: PipelineFixtureOptions) {
    this.pipeline = this.makePipeline();
    this.pipeline.configure({
      ...{version: 1, routes: options.routes, services: [makeService()]},
      teams: null,
      limits: {
        ...{maxHeaderBytes: 1, maxBodyBytes: 1},
        ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
      },
    });
  }

  serve(request: CallerRequest): Promise<void> {
    return this.pipeline.serve(request, this.sink);
  }

  private makePipeline(): RequestPipeline {
    const {connections, choose, waits = {}, streams} = this.options;
    const {clock} = this;
    return new RequestPipeline({
      ...{clock, logger: this.logger, random: new SeededRandom(1)},
      connections,
      dialect: {
        makeHeaders: () => [],
        identify: () => ({isNamed: true, classify: () => 'own'}),
        readHead: ({status}) => ({
          ...{status, headers: [], isNotRun: false, isMisdirected: false},
          readsAsNotRun: false,
          ...{
            isGenuine: true,
            isEncoded: false,
            load: null,
            limit: null,
            brittlePerSecond: null,
          },
          availability: {isLeaving: false, pauseMs: null, invalidHeaders: []},
        }),
      },
      chooser: {
        choose: ask => Promise.resolve(toServerChoice(choose(ask))),
        release: ({server}) => this.released.push(server.id),
        recordSent: () => undefined,
        recordLoad: () => undefined,
        recordTerms: () => undefined,
        recordResult: () => undefined,
      },
      retries: new RetryAllowance({
        clock,
        bound: () => ({ratio: 0.2, slack: 10, windowMs: 10_000}),
        findShare: () => 1,
      }),
      headTimes: new ResponseHeadTimes(),
      stop: {
        ...{cutOffAtMs: null, refusalSignal: new AbortController().signal},
        abortSignal: new AbortController().signal,
      },
      streams: streams ?? {
        record: () => undefined,
        mayBegin: () => true,
        mayBeginSoon: () => true,
        waitUntilRecorded: () => Promise.resolve(true),
        find: () => Promise.reject(new Error('No stream is resumed.')),
      },
      crashes: {
        isSuspected: () => false,
        hasSuspects: false,
        isPathSuspected: () => false,
        isContained: () => false,
        openProbe: () => false,
        endProbe: () => undefined,
        recordConnectionLoss: () => undefined,
        recordSuccess: () => undefined,
        recordServedParts: () => undefined,
      },
      suspects: {
        makeRunId: () => 'run-1',
        acquire: () => Promise.resolve(true),
        release: () => undefined,
      },
      configuration: {
        ...{version: 1, ageMs: 11_000, confirmedBy: null},
        isRecent: this.options.isConfigurationRecent ?? true,
      },
      access: {isConfirmed: true, check: () => ({team: null})},
      limits: {recordResponse: () => undefined},
      availability: {
        findWaitMs: ({id}) => waits[id] ?? 0,
        recordResponse: () => undefined,
      },
    });
  }
}

function toServerChoice(
  server: BackendServerEntry | null | undefined,
): ServerChoice {
  if (server !== null) return makeChoice(server);
  const error = new TypedError('not-warm', 'No server.', {run: 'not-run'});
  return {status: 'refused', error};
}

export function makeChoice(server = makeServer()): ChosenServer {
  return {status: 'chosen', server, basis: {by: 'schedule'}, askId: 'a1'};
}
