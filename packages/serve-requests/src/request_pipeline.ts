/** Takes requests from their arrival to their final answers. */
import {type BackendConnections} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {
  type ServiceRoute,
  type ServiceSpec,
  type ServingConfiguration,
} from '@mimosatack/types';
import {type AccessCheck, type GrantedAccess} from './access_check.js';
import {type BackendDialect} from './backend_dialect.js';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {type CrashWatch} from './crash_guard.js';
import {type HeadTimes} from './head_times.js';
import {pickService} from './pick_service.js';
import {RequestRun} from './request_run.js';
import {type RetryAllowance} from './retry_allowance.js';
import {RouteTable} from './route_table.js';
import {type ServerChooser} from './server_chooser.js';

/** What the pipeline is built from. */
export interface PipelineOptions {
  clock: Clock;
  random: RandomSource;
  connections: BackendConnections;
  dialect: BackendDialect;
  chooser: ServerChooser;
  retries: RetryAllowance;
  logger: EventLogger;
  headTimes: HeadTimes;
  crashes: CrashWatch;
  access: AccessCheck;
}

const NOT_CONFIGURED_RETRY_MS = 500;

/** The configuration in force, ready for look-ups. */
interface ActiveConfiguration {
  version: number;
  routes: RouteTable;
  services: ReadonlyMap<string, ServiceSpec>;
}

/** The path of every request, whichever edge it came in by. */
export class RequestPipeline {
  private active: ActiveConfiguration | null = null;

  constructor(private readonly options: PipelineOptions) {}

  /** Puts a configuration in force for all requests that come after it. */
  configure(configuration: ServingConfiguration): void {
    this.active = {
      version: configuration.version,
      routes: new RouteTable(configuration.routes),
      services: new Map(
        configuration.services.map(service => [service.name, service]),
      ),
    };
  }

  /**
   * Why a request is not served at all; null for one that may be. Needs no body,
   * so that nothing is spent on a caller that is not known.
   */
  screen(head: RequestHead): TypedError | null {
    const route = this.findRoute(head);
    if (route instanceof TypedError) return null;
    const access = this.options.access.check(head, route);
    if (!(access instanceof TypedError)) return null;
    this.logUnrouted(head, access);
    return access;
  }

  /** Resolves once the request has its final answer. */
  async serve(request: CallerRequest, sink: AnswerSink): Promise<void> {
    const target = this.findTarget(request);
    if (target instanceof TypedError) {
      sink.refuse(target);
      this.logUnrouted(request, target);
      return;
    }
    this.options.retries.noteRequest(target.service.name);
    await new RequestRun(this.options, request, sink, target).run();
  }

  private findRoute({host, path}: RequestHead): ServiceRoute | TypedError {
    if (!this.active) return makeNotConfigured();
    const route = this.active.routes.find(host, path);
    if (route) return route;
    return this.options.access.isConfirmed
      ? makeNoRoute(host, path)
      : makeNotConfigured();
  }

  private findTarget(request: CallerRequest): RequestTarget | TypedError {
    const {active} = this;
    const route = this.findRoute(request);
    if (!active || route instanceof TypedError) {
      return route instanceof TypedError ? route : makeNotConfigured();
    }
    const access = this.options.access.check(request, route);
    if (access instanceof TypedError) return access;
    const name = pickService(route.traffic, this.options.random);
    const service = name === null ? undefined : active.services.get(name);
    const {version} = active;
    return service ? {route, service, version, access} : makeNotConfigured();
  }

  private logUnrouted(
    {requestId, receivedAtMs}: RequestHead,
    error: TypedError,
  ): void {
    this.options.logger.log('request-finished', {
      requestId,
      result: 'refused',
      kind: error.kind,
      reason: error.summary,
      run: error.run,
      retryAfterMs: error.retryAfterMs,
      attempts: 0,
      tookMs: this.options.clock.monotonicMs() - receivedAtMs,
      lastEventId: null,
      fingerprint: undefined,
    });
  }
}

/** A request before its body is read. */
export type RequestHead = Omit<CallerRequest, 'body'>;

/** Where a request goes by its configuration. */
export interface RequestTarget {
  route: ServiceRoute;
  service: ServiceSpec;
  /** Of the configuration that decided it. */
  version: number;
  /** In whose name it was admitted. */
  access: GrantedAccess;
}

/**
 * A node that has no configuration yet, or an old one, can't tell an unknown path
 * from one that it has not learnt of, so it does not answer that there is no such
 * route.
 */
function makeNotConfigured(): TypedError {
  return new TypedError('platform-unavailable', 'Not configured yet.', {
    run: 'not-run',
    retryAfterMs: NOT_CONFIGURED_RETRY_MS,
  });
}

function makeNoRoute(host: string, path: string): TypedError {
  return new TypedError('not-found', `No route takes ${host}${path}.`, {
    run: 'not-run',
  });
}
