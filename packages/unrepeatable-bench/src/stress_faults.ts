/** Injects faults into the nodes, the log service and the services. */
import {type Clock, sleep} from '@mimosatack/clock';
import {
  type Cluster,
  type NodeSpec,
  type ProcessGroup,
  type RunningNode,
  startNode,
} from '@mimosatack/demo';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {request} from 'undici';

export interface FaultTarget {
  clock: Clock;
  random: RandomSource;
  group: ProcessGroup;
  cluster: Cluster;
  makeSpec(index: number): NodeSpec;
}

interface Fault {
  name: string;
  inject(faults: StressFaults): Promise<void>;
}

const POLL_MS = 10;
const SHORT_FAULT_MS = 600;
const LONG_FAULT_MS = 1_500;
const NODE_EXIT_TIMEOUT_MS = 10_000;

const FAULTS: readonly Fault[] = [
  {
    name: 'service resets before reading',
    inject: f => f.resetServiceConnections('resetBeforeRead'),
  },
  {
    name: 'service resets after reading',
    inject: f => f.resetServiceConnections('resetAfterRead'),
  },
  {
    name: 'service resets after running',
    inject: f => f.resetServiceConnections('resetAfterRun'),
  },
  {name: 'service frozen', inject: f => f.freezeService()},
  {name: 'log loses append answers', inject: f => f.loseLogAnswers()},
  {name: 'log down', inject: f => f.failLog({down: true})},
  {name: 'node cut from the log', inject: f => f.cutNodeFromLog()},
  {name: 'node killed and replaced', inject: f => f.replaceNode('SIGKILL')},
  {name: 'node stopped and replaced', inject: f => f.replaceNode('SIGTERM')},
  {name: 'node frozen and thawed', inject: f => f.freezeNode()},
];

/** Injects random faults and counts them by name. */
export class StressFaults {
  readonly counts = new Map<string, number>();
  private nodeCount: number;
  private readonly reservedNodes = new Set<RunningNode>();

  constructor(private readonly target: FaultTarget) {
    this.nodeCount = target.cluster.nodes.length;
  }

  /** Injects faults at random intervals until `isOver` returns true. */
  async run(pauseMs: number, isOver: () => boolean): Promise<void> {
    const {clock, random} = this.target;
    const injected: Array<Promise<void>> = [];
    let nextFaultMs = clock.monotonicMs();
    while (!isOver()) {
      await sleep(clock, POLL_MS);
      if (clock.monotonicMs() < nextFaultMs) continue;
      const fault = pickOne(random, FAULTS) as Fault;
      this.counts.set(fault.name, (this.counts.get(fault.name) ?? 0) + 1);
      injected.push(fault.inject(this).catch(() => undefined));
      nextFaultMs += pauseMs * (0.5 + random.nextFraction());
    }
    await Promise.all(injected);
  }

  async resetServiceConnections(field: string): Promise<void> {
    await this.postControl(this.pickService(), '/control/faults', {
      [field]: this.target.random.nextInt(1, 6),
    });
  }

  async freezeService(): Promise<void> {
    await this.postControl(this.pickService(), '/control/freeze', {
      forMs: this.target.random.nextInt(SHORT_FAULT_MS, LONG_FAULT_MS),
    });
  }

  async loseLogAnswers(): Promise<void> {
    await this.setLogFaults({
      loseAppendAnswers: this.target.random.nextInt(1, 8),
    });
  }

  async failLog(fault: object): Promise<void> {
    await this.setLogFaults(fault);
    await sleep(this.target.clock, SHORT_FAULT_MS);
    await this.setLogFaults({down: false});
  }

  async cutNodeFromLog(): Promise<void> {
    const node = pickOne(this.target.random, this.target.cluster.nodes);
    await this.setLogFaults({cutNodes: node ? [node.processName] : []});
    await sleep(this.target.clock, LONG_FAULT_MS);
    await this.setLogFaults({cutNodes: []});
  }

  async freezeNode(): Promise<void> {
    const node = this.reserveNode();
    if (!node) return;
    node.signal('SIGSTOP');
    await sleep(this.target.clock, LONG_FAULT_MS);
    node.signal('SIGCONT');
    this.reservedNodes.delete(node);
  }

  /** Stops a node with a signal and starts another in its place. */
  async replaceNode(signal: NodeJS.Signals): Promise<void> {
    const {group, cluster, clock} = this.target;
    const node = this.reserveNode();
    if (!node) return;
    node.signal(signal);
    await Promise.race([node.ended, sleep(clock, NODE_EXIT_TIMEOUT_MS)]);
    cluster.nodes = cluster.nodes.filter(other => other !== node);
    this.nodeCount += 1;
    const added = await startNode(group, this.target.makeSpec(this.nodeCount));
    cluster.nodes = [...cluster.nodes, added];
    this.reservedNodes.delete(node);
  }

  /** Reserves a node for a fault; at most two, so that the others serve. */
  private reserveNode(): RunningNode | undefined {
    const free = this.target.cluster.nodes.filter(
      node => !this.reservedNodes.has(node),
    );
    if (this.reservedNodes.size >= 2) return undefined;
    const node = pickOne(this.target.random, free);
    if (node) this.reservedNodes.add(node);
    return node;
  }

  private pickService(): string {
    return pickOne(this.target.random, this.target.cluster.services)!.baseUrl;
  }

  private setLogFaults(log: object): Promise<void> {
    const {baseUrl} = this.target.cluster.platform;
    return this.postControl(baseUrl, '/control/faults', {log});
  }

  private async postControl(
    baseUrl: string,
    path: string,
    body: object,
  ): Promise<void> {
    const answer = await request(baseUrl + path, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    await answer.body.dump();
  }
}
