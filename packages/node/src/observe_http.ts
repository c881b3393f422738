/** Measures the requests of an HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type Metrics} from '@mimosatack/metrics';
import {type FastifyInstance, type FastifyRequest} from 'fastify';

/** Who uses the interface that a server offers. */
export type InterfaceName = 'callers' | 'operators';

const FIRST_ERROR_STATUS = 400;
const UNKNOWN_ROUTE = 'unknown route';

export class HttpObserver {
  /** Requests that have arrived and have no complete response yet. */
  inFlight = 0;
  private readonly arrivals = new WeakMap<FastifyRequest, number>();

  constructor(
    readonly interfaceName: InterfaceName,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Adds the hooks; must be called before the server listens. */
  watch(server: FastifyInstance): void {
    server.addHook('onRequest', async incoming => this.noteArrival(incoming));
    server.addHook('onResponse', async (incoming, reply) =>
      this.noteCompletion(incoming, reply.statusCode),
    );
    server.addHook('onRequestAbort', async incoming =>
      this.noteCompletion(incoming, null),
    );
  }

  private noteArrival(incoming: FastifyRequest): void {
    this.inFlight += 1;
    this.arrivals.set(incoming, this.clock.monotonicMs());
    this.metrics.count('requests.received', this.tagsOf(incoming));
  }

  /** An aborted request triggers both hooks; only the first call counts. */
  private noteCompletion(
    incoming: FastifyRequest,
    status: number | null,
  ): void {
    const arrivedAtMs = this.arrivals.get(incoming);
    if (arrivedAtMs === undefined) return;
    this.arrivals.delete(incoming);
    this.inFlight -= 1;
    if (status === null) return;
    const tags = this.tagsOf(incoming);
    const durationMs = this.clock.monotonicMs() - arrivedAtMs;
    this.metrics.timing('requests.duration', durationMs, tags);
    if (status < FIRST_ERROR_STATUS) return;
    this.metrics.count('requests.refused', {...tags, status: String(status)});
  }

  /**
   * Tags with the route instead of the path, which bounds the number of tags.
   */
  private tagsOf(incoming: FastifyRequest) {
    const url = incoming.routeOptions.url;
    return {
      interface: this.interfaceName,
      kind: url === undefined ? UNKNOWN_ROUTE : `${incoming.method} ${url}`,
    };
  }
}
