/** Serves requests from arrival to the final response. */
import {type BackendConnections} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {type ServerLimits} from '@mimosatack/share-limits';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {
  type ServiceRoute,
  type ServiceSpec,
  type ServingConfiguration,
} from '@mimosatack/types';
import {
  type AccessCheck,
  type ConfigurationEvidence,
  type GrantedAccess,
} from './access_check.js';
import {type BackendDialect} from './backend_dialect.js';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {
  type StreamLookup,
  findOrigin,
  isResumedStream,
  chooseService,
  makeOriginUnknownError,
} from './continue_stream.js';
import {type CrashWatch} from './crash_guard.js';
import {type ResponseHeadTimes} from './response_head_times.js';
import {pickService} from './pick_service.js';
import {RequestRun} from './request_run.js';
import {type RetryAllowance} from './retry_allowance.js';
import {RouteTable} from './route_table.js';
import {type ServerChooser} from './server_chooser.js';
import {type StopNotice} from './stop_notice.js';
import {type SuspectLeaser} from './suspect_lease.js';

export interface PipelineOptions {
  clock: Clock;
  random: RandomSource;
  connections: BackendConnections;
  dialect: BackendDialect;
  chooser: ServerChooser;
  retries: RetryAllowance;
  logger: EventLogger;
  headTimes: ResponseHeadTimes;
  crashes: CrashWatch;
  suspects: SuspectLeaser;
  access: AccessCheck;
  configuration: ConfigurationEvidence;
  limits: Pick<ServerLimits, 'recordResponse'>;
  availability: Pick<ServerAvailability, 'findWaitMs' | 'recordResponse'>;
  streams: StreamLookup;
  stop: StopNotice;
}

const NOT_CONFIGURED_RETRY_MS = 500;

/** The current configuration, indexed for lookups. */
interface ActiveConfiguration {
  version: number;
  routes: RouteTable;
  services: ReadonlyMap<string, ServiceSpec>;
}

/** Serves the requests of all caller edges. */
export class RequestPipeline {
  private active: ActiveConfiguration | null = null;

  constructor(private readonly options: PipelineOptions) {}

  /** Applies a configuration to all later requests. */
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
   * Returns the error for a request without access, or null. Runs before the
   * body is read, so that unknown callers use few resources.
   */
  checkAccess(head: RequestHead): TypedError | null {
    const route = this.findRoute(head);
    if (route instanceof TypedError) return null;
    const access = this.options.access.check(head, route);
    if (!(access instanceof TypedError)) return null;
    this.logRefused(head, access);
    return access;
  }

  /** Resolves once the request is finished and logged. */
  async serve(request: CallerRequest, sink: AnswerSink): Promise<void> {
    const target = await this.continueStream(request, this.findTarget(request));
    if (target instanceof TypedError) {
      sink.refuse(target);
      this.logRefused(request, target);
      return;
    }
    this.options.retries.recordRequest(target.service.name);
    await new RequestRun(this.options, request, sink, target).run();
  }

  /** Guards against a stream that goes on at another software version. */
  private async continueStream(
    request: CallerRequest,
    target: RequestTarget | TypedError,
  ): Promise<RequestTarget | TypedError> {
    if (target instanceof TypedError || !isResumedStream(request, target)) {
      return target;
    }
    const origin = await findOrigin(request, target, this.options);
    if (!origin) return makeOriginUnknownError();
    const {softwareVersion} = origin;
    const name = chooseService(target, origin);
    const service = this.active?.services.get(name) ?? target.service;
    return {...target, service, softwareVersion};
  }

  private findRoute({host, path}: RequestHead): ServiceRoute | TypedError {
    if (!this.active) return makeNotConfiguredError();
    const route = this.active.routes.find(host, path);
    if (route) return route;
    const {access, configuration} = this.options;
    return access.isConfirmed && configuration.isRecent
      ? makeNoRouteError(host, path)
      : makeOutdatedError();
  }

  private findTarget(request: CallerRequest): RequestTarget | TypedError {
    const {active} = this;
    const route = this.findRoute(request);
    if (!active || route instanceof TypedError) {
      return route instanceof TypedError ? route : makeNotConfiguredError();
    }
    const access = this.options.access.check(request, route);
    if (access instanceof TypedError) return access;
    const name = pickService(route.traffic, this.options.random);
    const service = name === null ? undefined : active.services.get(name);
    const {version} = active;
    return service
      ? {route, service, version, access, softwareVersion: null}
      : makeNotConfiguredError();
  }

  /** Logs a request that was refused before it was passed to `serve`, or by it. */
  logRefused(head: RequestHead, error: TypedError): void {
    const {requestId, receivedAtMs, host, path} = head;
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
    if (!this.active) return;
    const hasRoute = this.active.routes.find(host, path) !== undefined;
    if (!hasRoute) this.logNoRoute(requestId, error.kind);
  }

  private logNoRoute(requestId: string, kind: TypedError['kind']): void {
    const {version, ageMs, confirmedBy} = this.options.configuration;
    this.options.logger.log('route-not-found', {
      ...{requestId, kind},
      configurationVersion: version,
      configurationAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      confirmedBy: confirmedBy ?? 'own-read',
    });
  }
}

/** A request whose body is not read yet. */
export type RequestHead = Omit<CallerRequest, 'body'>;

/** The route and service that a configuration selects for a request. */
export interface RequestTarget {
  route: ServiceRoute;
  service: ServiceSpec;
  /** The version of that configuration. */
  version: number;
  /** The access that the request was admitted with. */
  access: GrantedAccess;
  /** The software version that began the stream which the request resumes, or null. */
  softwareVersion: string | null;
}

function makeNotConfiguredError(): TypedError {
  return makeUnavailableError('Not configured yet.');
}

/**
 * Guards against `not-found` for a route that exists: a node without a current
 * configuration may not have received the route yet.
 */
function makeOutdatedError(): TypedError {
  return makeUnavailableError(
    'No route is known, and the configuration could not be confirmed lately.',
  );
}

function makeUnavailableError(message: string): TypedError {
  return new TypedError('platform-unavailable', message, {
    run: 'not-run',
    retryAfterMs: NOT_CONFIGURED_RETRY_MS,
  });
}

function makeNoRouteError(host: string, path: string): TypedError {
  return new TypedError('not-found', `No route takes ${host}${path}.`, {
    run: 'not-run',
  });
}
