/** Faults that strike the nodes, the log service and the services. */
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

/** What faults act on. */
export interface FaultTarget {
  clock: Clock;
  random: RandomSource;
  group: ProcessGroup;
  cluster: Cluster;
  makeSpec(index: number): NodeSpec;
}

interface Fault {
  name: string;
  strike(faults: StressFaults): Promise<void>;
}

const POLL_MS = 10;
const SHORT_MS = 600;
const LONG_MS = 1_500;
const NODE_START_LIMIT_MS = 10_000;

const FAULTS: readonly Fault[] = [
  {
    name: 'service resets before reading',
    strike: f => f.reset('resetBeforeRead'),
  },
  {
    name: 'service resets after reading',
    strike: f => f.reset('resetAfterRead'),
  },
  {name: 'service resets after running', strike: f => f.reset('resetAfterRun')},
  {name: 'service frozen', strike: f => f.freezeService()},
  {name: 'log loses append answers', strike: f => f.loseAnswers()},
  {name: 'log down', strike: f => f.breakLog({down: true})},
  {name: 'node cut from the log', strike: f => f.cutNode()},
  {name: 'node killed and replaced', strike: f => f.replace('SIGKILL')},
  {name: 'node stopped and replaced', strike: f => f.replace('SIGTERM')},
  {name: 'node frozen and thawed', strike: f => f.freezeNode()},
];

/** Strikes with faults, one after the other. */
export class StressFaults {
  readonly counts = new Map<string, number>();
  private nodeCount: number;
  private readonly busy = new Set<RunningNode>();

  constructor(private readonly target: FaultTarget) {
    this.nodeCount = target.cluster.nodes.length;
  }

  /** Strikes at random, with pauses, until told to end. */
  async run(pauseMs: number, isOver: () => boolean): Promise<void> {
    const {clock, random} = this.target;
    const struck: Array<Promise<void>> = [];
    let nextStrikeMs = clock.monotonicMs();
    while (!isOver()) {
      await sleep(clock, POLL_MS);
      if (clock.monotonicMs() < nextStrikeMs) continue;
      const fault = pickOne(random, FAULTS) as Fault;
      this.counts.set(fault.name, (this.counts.get(fault.name) ?? 0) + 1);
      struck.push(fault.strike(this).catch(() => undefined));
      nextStrikeMs += pauseMs * (0.5 + random.nextFraction());
    }
    await Promise.all(struck);
  }

  async reset(field: string): Promise<void> {
    await this.control(this.pickService(), '/control/faults', {
      [field]: this.target.random.nextInt(1, 6),
    });
  }

  async freezeService(): Promise<void> {
    await this.control(this.pickService(), '/control/freeze', {
      forMs: this.target.random.nextInt(SHORT_MS, LONG_MS),
    });
  }

  async loseAnswers(): Promise<void> {
    await this.setLog({
      loseAppendAnswers: this.target.random.nextInt(1, 8),
    });
  }

  async breakLog(fault: object): Promise<void> {
    await this.setLog(fault);
    await sleep(this.target.clock, SHORT_MS);
    await this.setLog({down: false});
  }

  async cutNode(): Promise<void> {
    const node = pickOne(this.target.random, this.target.cluster.nodes);
    await this.setLog({cutNodes: node ? [node.processName] : []});
    await sleep(this.target.clock, LONG_MS);
    await this.setLog({cutNodes: []});
  }

  async freezeNode(): Promise<void> {
    const node = this.takeNode();
    if (!node) return;
    node.signal('SIGSTOP');
    await sleep(this.target.clock, LONG_MS);
    node.signal('SIGCONT');
    this.busy.delete(node);
  }

  /** Ends a node and starts another in its place. */
  async replace(signal: NodeJS.Signals): Promise<void> {
    const {group, cluster, clock} = this.target;
    const node = this.takeNode();
    if (!node) return;
    node.signal(signal);
    await Promise.race([node.ended, sleep(clock, NODE_START_LIMIT_MS)]);
    cluster.nodes = cluster.nodes.filter(other => other !== node);
    this.nodeCount += 1;
    const added = await startNode(group, this.target.makeSpec(this.nodeCount));
    cluster.nodes = [...cluster.nodes, added];
    this.busy.delete(node);
  }

  /** Never the last nodes that are left alone. */
  private takeNode(): RunningNode | undefined {
    const free = this.target.cluster.nodes.filter(node => !this.busy.has(node));
    if (this.busy.size >= 2) return undefined;
    const node = pickOne(this.target.random, free);
    if (node) this.busy.add(node);
    return node;
  }

  private pickService(): string {
    return pickOne(this.target.random, this.target.cluster.services)!.baseUrl;
  }

  private setLog(log: object): Promise<void> {
    const {baseUrl} = this.target.cluster.platform;
    return this.control(baseUrl, '/control/faults', {log});
  }

  private async control(
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
