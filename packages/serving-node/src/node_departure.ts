/** Hands over and deregisters a node that shuts down. */
import {type CallerEdge} from '@mimosatack/caller-edge';
import {type Clock, sleep} from '@mimosatack/clock';
import {type NodeLinks} from '@mimosatack/node-links';
import {type RelayServer} from '@mimosatack/relay-connections';
import {type NodeRegister} from './node_register.js';
import {type SchedulingDuty} from './scheduling_duty.js';
import {
  CLOSE_MARGIN_MS,
  HANDOVER_FRACTION,
  KEEP_LISTENING_MS,
} from './stop_times.js';

export interface NodeDepartureOptions {
  clock: Clock;
  /** Longest time that the shutdown may take. */
  graceMs: number;
  edge: CallerEdge;
  duty: SchedulingDuty;
  links: NodeLinks;
  register: NodeRegister;
  relays: Pick<RelayServer, 'retireAll'>;
}

/** The shutdown steps that concern callers and other nodes. */
export class NodeDeparture {
  private handover: Promise<void> = Promise.resolve();
  private requestedAtMs = 0;

  constructor(private readonly options: NodeDepartureOptions) {}

  recordStopRequest(): void {
    this.requestedAtMs = this.options.clock.monotonicMs();
  }

  /** Closes idle caller connections and starts to hand the duty over. */
  announce(): void {
    const {clock, edge, duty, links, relays} = this.options;
    edge.closeIdle();
    relays.retireAll();
    this.handover = duty.handOver(() => links.successors.find());
    clock.setTimer(KEEP_LISTENING_MS, () => edge.stopListening());
  }

  /** Waits for the handover, during which this node keeps scheduling. */
  async handOverAndDeregister(): Promise<void> {
    const {clock, graceMs, duty, links, register} = this.options;
    const usedMs = clock.monotonicMs() - this.requestedAtMs;
    const leftMs = graceMs - CLOSE_MARGIN_MS - usedMs;
    await Promise.race([
      this.handover,
      sleep(clock, HANDOVER_FRACTION * leftMs),
    ]);
    duty.stopOrdering();
    links.sendFinalGrant();
    await register.deregister();
  }
}
