/** Several nodes and engines in one process, for tests and measurements. */
import {EngineBoard, type SlotContent} from '@mimosatack/engine-board';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerId, type EngineState} from '@mimosatack/types';
import {type RingNode} from './exchange_ring.js';
import {type OutgoingReport, type ReportMessage} from './messages.js';
import {ReportSharing} from './report_sharing.js';
import {type RunnerRow} from './runner_table.js';

/** How finely time is simulated. */
export const STEP_MS = 20;
const TICK_MS = 100;
const POLL_MS = 500;
const SLOT_COUNT = 20;
const START_WALL_MS = 1_750_000_000_000;
const DEFAULT_DELAY_MS = 20;

/** A message on its way. */
export interface Envelope extends OutgoingReport {
  fromAddress: string;
  dueMs: number;
}

/** One node with its own view of what is agreed. */
export interface ClusterNode extends RingNode {
  board: EngineBoard;
  sharing: ReportSharing;
  /** How far its wall clock is off. */
  skewMs: number;
  isFrozen: boolean;
  /** The agreed rows as far as it has folded them; null for all of them. */
  laggingRows: readonly RunnerRow[] | null;
  seenRows: readonly RunnerRow[] | null;
  /** Claims that it believes to hold, by engine. */
  held: Map<BackendServerId, number>;
}

/** What a cluster is made of. */
export interface ClusterSetup {
  nodeCount: number;
  runnerCount: number;
  seed?: number;
  /** Chooses each node's error of the wall clock. */
  skewMs?: (index: number) => number;
}

/** Carries messages in a fixed order in simulated time. */
export class InMemoryCluster {
  nowMs = 0;
  readonly nodes: ClusterNode[];
  readonly engines = new Map<BackendServerId, EngineState>();
  /** Decides whether a message is lost; none is unless a test says so. */
  isLost: (envelope: Envelope) => boolean = () => false;
  /** How long a message travels. */
  findDelayMs: (envelope: Envelope) => number = () => DEFAULT_DELAY_MS;
  /** What a receiver gets of a message. */
  transfer: (message: ReportMessage) => ReportMessage = structuredClone;
  /** Told of every message that is sent, lost ones included. */
  onSend: (envelope: Envelope) => void = () => {};
  rows: RunnerRow[] = [];
  private waiting: Envelope[] = [];
  private nextEpoch = 1;

  constructor({nodeCount, runnerCount, seed = 1, skewMs}: ClusterSetup) {
    this.nodes = Array.from({length: nodeCount}, (_, index) =>
      createNode(index, seed, skewMs?.(index) ?? 0),
    );
    Array.from({length: runnerCount}, (_, index) =>
      nameOfEngine(index),
    ).forEach((id, index) => {
      this.engines.set(id, createEngine(id));
      this.claim(id, this.nodes[index % nodeCount]!);
    });
    this.nodes.forEach(node => node.sharing.setNodes(this.nodes));
  }

  /** Gives an engine to a node under a new epoch. */
  claim(id: BackendServerId, node: ClusterNode): void {
    const epoch = this.nextEpoch++;
    this.rows = [
      ...this.rows.filter(row => row.backendServerId !== id),
      {backendServerId: id, epoch, holder: node.incarnation},
    ];
    node.held.set(id, epoch);
  }

  /** Starts a node anew, with an empty board. */
  restart(node: ClusterNode): void {
    const index = this.nodes.indexOf(node);
    const fresh = createNode(index, this.nowMs + 1, node.skewMs);
    Object.assign(node, {board: fresh.board, sharing: fresh.sharing});
    node.held.clear();
    node.seenRows = null;
    node.sharing.setNodes(this.nodes);
  }

  setWarm(id: BackendServerId, slots: readonly number[]): void {
    const engine = this.engines.get(id)!;
    engine.replicas = slots.map(slot => createReplica(id, slot));
  }

  /** Delivers what is due, then lets nodes poll their engines and act. */
  step(): void {
    this.nowMs += STEP_MS;
    const due = this.waiting.filter(
      each => each.dueMs <= this.nowMs && !this.find(each.toAddress).isFrozen,
    );
    const delivered = new Set(due);
    this.waiting = this.waiting.filter(each => !delivered.has(each));
    due.forEach(envelope => this.deliver(envelope));
    this.nodes
      .filter(node => !node.isFrozen)
      .forEach((node, index) => this.act(node, index));
  }

  run(durationMs: number): void {
    const stepCount = Math.ceil(durationMs / STEP_MS);
    Array.from({length: stepCount}).forEach(() => this.step());
  }

  /** Runs until it is so; returns how long that took, or null if it is not. */
  runUntil(isSo: () => boolean, limitMs: number): number | null {
    const startMs = this.nowMs;
    while (!isSo() && this.nowMs - startMs < limitMs) this.step();
    return isSo() ? this.nowMs - startMs : null;
  }

  /** Whether all boards show exactly what the engines have warm. */
  isAgreed(): boolean {
    return this.nodes.every(node =>
      [...this.engines.values()].every(engine =>
        isShown(node, engine, this.listWarmSlots(engine)),
      ),
    );
  }

  deliver({fromAddress, toAddress, message}: Envelope): void {
    const node = this.find(toAddress);
    const copy = this.transfer(message);
    this.post(node, node.sharing.receive(fromAddress, copy, this.now(node)));
  }

  /** Puts messages on their way as they are. */
  delay(envelopes: readonly Envelope[]): void {
    this.waiting.push(...envelopes);
  }

  post(from: RingNode, messages: readonly OutgoingReport[]): void {
    messages.forEach(message => {
      const envelope = {
        ...message,
        fromAddress: from.peerAddress,
        dueMs: this.nowMs,
      };
      this.onSend(envelope);
      if (this.isLost(envelope)) return;
      envelope.dueMs += this.findDelayMs(envelope);
      this.waiting.push(envelope);
    });
  }

  private act(node: ClusterNode, index: number): void {
    const phaseMs = this.nowMs + index * STEP_MS;
    if (phaseMs % POLL_MS === 0) this.poll(node);
    if (phaseMs % TICK_MS !== 0) return;
    const rows = node.laggingRows ?? this.rows;
    if (rows !== node.seenRows) {
      node.seenRows = rows;
      node.sharing.setRunners(rows);
      node.board.refreshSlots();
    }
    this.post(node, node.sharing.tick(this.now(node)));
  }

  /** A node polls on under a claim that it does not know to be lost. */
  private poll(node: ClusterNode): void {
    node.held.forEach((epoch, id) => {
      const row = (node.laggingRows ?? this.rows).find(
        each => each.backendServerId === id,
      );
      const engine = this.engines.get(id);
      if (!engine || row?.epoch !== epoch) {
        node.held.delete(id);
        return;
      }
      const report = {
        backendServerId: id,
        reportedAtMs: this.now(node).wallMs,
        engine: structuredClone(engine),
        load: {...engine.load},
        isReachable: true,
      };
      node.sharing.publish(report, {epoch, rank: 0}, this.nowMs);
    });
  }

  private listWarmSlots({replicas}: EngineState): number[] {
    return replicas.map(replica => Number(replica.model.split('-')[1]));
  }

  private find(address: string): ClusterNode {
    return this.nodes[Number(address.split(':')[1])]!;
  }

  private now(node: ClusterNode) {
    const wallMs = START_WALL_MS + this.nowMs + node.skewMs;
    return {monotonicMs: this.nowMs, wallMs};
  }
}

/** The name of an engine of the cluster. */
export function nameOfEngine(index: number): BackendServerId {
  return `runner-${String(index).padStart(4, '0')}`;
}

function isShown(
  {board}: ClusterNode,
  {backendServerId}: EngineState,
  warmSlots: readonly number[],
): boolean {
  const shown = Array.from({length: SLOT_COUNT}, (_, slot) => slot).filter(
    slot =>
      board
        .listWarm(`model-${slot}`, null)
        .some(replica => replica.backendServerId === backendServerId),
  );
  return shown.join() === warmSlots.toSorted((a, b) => a - b).join();
}

function createNode(index: number, seed: number, skewMs: number): ClusterNode {
  const nodeName = `entry-${index}`;
  const board = new EngineBoard({listContents});
  return {
    nodeName,
    incarnation: `${nodeName}.life`,
    peerAddress: `node:${index}`,
    board,
    sharing: new ReportSharing({
      nodeName,
      board,
      random: new SeededRandom(seed * 1_000 + index),
    }),
    skewMs,
    isFrozen: false,
    laggingRows: null,
    seenRows: null,
    held: new Map(),
  };
}

function createEngine(backendServerId: BackendServerId): EngineState {
  return {
    backendServerId,
    incarnation: 'first',
    fencing: 'refuses-old',
    highestFencingNumber: 0,
    accelerators: 8,
    memoryMib: 600_000,
    replicas: [],
    cached: [],
    load: {
      runningRequests: 0,
      queuedRequests: 0,
      maxRunningRequests: 32,
      tokensPerSecond: 0,
      ageMs: 0,
    },
  };
}

function createReplica(id: BackendServerId, slot: number) {
  return {
    slotId: `${id}/${slot}`,
    model: `model-${slot}`,
    adapter: null,
    version: '1',
    memoryMib: 1_000,
    status: 'warm' as const,
    loadMs: 1_000,
    activeRequests: 0,
  };
}

function listContents(id: BackendServerId): SlotContent[] {
  return Array.from({length: SLOT_COUNT}, (_, slot) => ({
    engineSlotId: `${id}/${slot}`,
    slotId: `${id}/${slot}`,
    model: `model-${slot}`,
    adapter: null,
  }));
}
