/** Connects the graceful shutdown to the parts of a node. */
import {type Clock} from '@mimosatack/clock';
import {DrainGate, InFlight, ShutdownTask} from '@mimosatack/drain-node';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type FastifyInstance} from 'fastify';
import {type YieldReport} from './steward_task.js';

export interface NodeShutdownOptions {
  clock: Clock;
  logger: EventLogger;
  entriesTtlMs: number;
  graceMs: number;
  /** Tells the other nodes that this node is leaving. */
  announce(): void;
  yieldStewardships(): Promise<YieldReport>;
  close(): Promise<void>;
}

/** Called once no requests are in flight, before the node closes. */
export type DrainedHook = () => Promise<void>;

/** Time after which no node lists the address of a leaving node. */
const LEAVE_PROPAGATION_MS = 2_000;

export class NodeShutdown {
  readonly gate: DrainGate;
  readonly task: ShutdownTask;
  private readonly hooks: DrainedHook[] = [];

  constructor(private readonly options: NodeShutdownOptions) {
    const {clock, logger, entriesTtlMs, graceMs} = options;
    this.gate = new DrainGate(new InFlight(clock));
    this.task = new ShutdownTask({
      ...{clock, logger, graceMs, gate: this.gate},
      addressExpiryMs: entriesTtlMs + LEAVE_PROPAGATION_MS,
      actions: {
        // `start` checks itself whether a stop was requested.
        abortStart: () => undefined,
        announce: () => options.announce(),
        handOver: () => this.handOver(),
        close: () => options.close(),
      },
    });
  }

  /** Counts the requests of a server as in flight. */
  watch(server: FastifyInstance): void {
    server.addHook('onRequest', async (incoming, reply) => {
      const route = incoming.routeOptions.url ?? 'unknown route';
      const work = this.gate.inFlight.begin(`${incoming.method} ${route}`);
      reply.raw.once('close', () => work.end());
    });
  }

  onDrained(hook: DrainedHook): void {
    this.hooks.push(hook);
  }

  private async handOver(): Promise<void> {
    const report = await this.options.yieldStewardships();
    this.options.logger.log('stewardship-yielded', {
      backendServerIds: report.yieldedIds,
      keptIds: report.keptIds,
      reason: report.reason,
    });
    for (const hook of this.hooks) await this.runHook(hook);
  }

  /**
   * Guards against a failed hook that blocks the other hooks or the shutdown.
   */
  private async runHook(hook: DrainedHook): Promise<void> {
    try {
      await hook();
    } catch (thrown) {
      this.options.logger.log('task-failed', {
        task: 'shutdown: on-drained',
        error: toTypedError(thrown),
        restartInMs: null,
      });
    }
  }
}
