/** The graceful shutdown of a node, wired to its parts. */
import {type Clock} from '@mimosatack/clock';
import {DrainGate, InFlight, ShutdownTask} from '@mimosatack/drain-node';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type FastifyInstance} from 'fastify';
import {type YieldReport} from './steward_task.js';

/** What the shutdown needs of the node. */
export interface NodeShutdownOptions {
  clock: Clock;
  logger: EventLogger;
  entriesTtlMs: number;
  graceMs: number;
  /** Tells the other nodes that this one leaves. */
  announce(): void;
  yieldStewardships(): Promise<YieldReport>;
  /** Closes all sockets. */
  close(): Promise<void>;
}

/** Called once nothing is in flight any more, before the node closes. */
export type DrainedHook = () => Promise<void>;

/** After this time no node gives out the address of one that leaves. */
const LEAVE_SPREAD_MS = 2_000;

/** The shutdown of one node and what its servers see of it. */
export class NodeShutdown {
  readonly gate: DrainGate;
  readonly task: ShutdownTask;
  private readonly hooks: DrainedHook[] = [];

  constructor(private readonly options: NodeShutdownOptions) {
    const {clock, logger, entriesTtlMs, graceMs} = options;
    this.gate = new DrainGate(new InFlight(clock));
    this.task = new ShutdownTask({
      ...{clock, logger, graceMs, gate: this.gate},
      tellCallersMs: entriesTtlMs + LEAVE_SPREAD_MS,
      actions: {
        // The start itself looks whether it is to go on.
        abortStart: () => undefined,
        announce: () => options.announce(),
        handOver: () => this.handOver(),
        close: () => options.close(),
      },
    });
  }

  /** Counts the requests of the operators' server among those in flight. */
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
    for (const hook of this.hooks) await this.call(hook);
  }

  /** One hook that fails keeps neither the others nor the node. */
  private async call(hook: DrainedHook): Promise<void> {
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
