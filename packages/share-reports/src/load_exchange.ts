/**
 * Passes all loads to all nodes, once a round and in as many steps as a
 * distance on the ring has bits.
 */
import {type EngineBoard, type LoadSample} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {type Direction, type ExchangeRing} from './exchange_ring.js';
import {decodeLoads, encodeLoads} from './load_codec.js';
import {type MessageOf, type OutgoingReport} from './messages.js';
import {type TableHistory} from './runner_table.js';

const ROUND_UNIT_MS = 500;
/**
 * A step is long enough for a message to arrive, and for the next node to
 * have ticked, before the step that passes it on.
 */
const MIN_STEP_MS = 200;
/** So many backend servers' loads are exchanged in each `ROUND_UNIT_MS`. */
const RUNNERS_PER_UNIT = 175;
const MIN_STALE_MS = 10_000;
const STALE_ROUNDS = 5;
/** A load is not taken for older than this when clocks differ. */
const MAX_AGE_MS = 10_000;
const OWN_BIT = -1;

interface HeardSample {
  sample: LoadSample;
  heardAtMs: number;
  /** The step at which it came; -1 for a load that this node read. */
  bit: number;
}

/** What a steward of this node has read last. */
export interface OwnLoad {
  sample: Omit<LoadSample, 'stampMs'>;
  readAtMs: number;
}

/**
 * Sends by the wall clock, so that all nodes do the same step at about the
 * same time and a load crosses the whole ring within a round. Where clocks
 * differ, loads come a round or two later; nothing else depends on them.
 */
export class LoadExchange {
  private readonly heard = new Map<BackendServerId, HeardSample>();
  private readonly own = new Map<BackendServerId, OwnLoad>();
  private lastStep: number | null = null;
  private lastStampMs = 0;
  private schedule = '';
  private ring: ExchangeRing | null = null;

  constructor(
    private readonly tables: TableHistory,
    private readonly board: EngineBoard,
  ) {}

  /** Grows with the number of backend servers, so that the bytes do not. */
  get roundMs(): number {
    const units = Math.ceil(this.tables.current.rows.length / RUNNERS_PER_UNIT);
    const stepsMs = MIN_STEP_MS * (this.ring?.stepCount ?? 0);
    return Math.max(ROUND_UNIT_MS, ROUND_UNIT_MS * units, stepsMs);
  }

  /** How long a steward may be silent. */
  get staleAfterMs(): number {
    return Math.max(MIN_STALE_MS, STALE_ROUNDS * this.roundMs);
  }

  setRing(ring: ExchangeRing): void {
    this.ring = ring;
  }

  publish(load: OwnLoad): void {
    this.own.set(load.sample.backendServerId, load);
  }

  forgetMissing(): void {
    const {current} = this.tables;
    [this.heard, this.own].forEach(map =>
      [...map.keys()]
        .filter(id => !current.find(id))
        .forEach(id => map.delete(id)),
    );
  }

  tick(nowMs: number, wallMs: number): OutgoingReport[] {
    const {ring} = this;
    if (!ring) return [];
    return this.listDueSteps(ring, wallMs).flatMap(step => {
      const bit = step % ring.stepCount;
      if (bit === 0) this.stampOwn(nowMs, wallMs);
      return this.makeMessages(ring, bit, nowMs);
    });
  }

  receive(
    {table, bit, stampUnits, groups}: MessageOf<'loads'>,
    nowMs: number,
    wallMs: number,
  ): void {
    const known = this.tables.findByClaims(table);
    if (!known) return;
    decodeLoads({stampUnits, groups}, known)
      .filter(sample => this.tables.current.find(sample.backendServerId))
      .filter(sample => !this.isOwn(sample))
      .forEach(sample => {
        const ageMs = Math.min(
          MAX_AGE_MS,
          Math.max(0, wallMs - sample.stampMs),
        );
        if (!this.board.noteLoad(sample, ageMs, nowMs)) return;
        this.heard.set(sample.backendServerId, {sample, heardAtMs: nowMs, bit});
      });
  }

  /** The steps that fell due since the last tick, at most one round. */
  private listDueSteps(ring: ExchangeRing, wallMs: number): number[] {
    const {stepCount} = ring;
    if (stepCount === 0) return [];
    const step = Math.floor((wallMs * stepCount) / this.roundMs);
    const schedule = `${stepCount} ${this.roundMs}`;
    const isMoved = schedule !== this.schedule;
    const last = this.lastStep ?? step - 1;
    const isJump = Math.abs(step - last) > stepCount;
    this.schedule = schedule;
    const from = isMoved || isJump ? step - 1 : last;
    this.lastStep = Math.max(from, step);
    return Array.from(
      {length: Math.max(0, step - from)},
      (_, place) => from + 1 + place,
    );
  }

  /**
   * Stamps grow even when the wall clock is set back; otherwise all nodes
   * would refuse the loads of this one until its clock has caught up.
   */
  private stampOwn(nowMs: number, wallMs: number): void {
    const roundStartMs = Math.floor(wallMs / this.roundMs) * this.roundMs;
    this.lastStampMs = Math.max(roundStartMs, this.lastStampMs + this.roundMs);
    this.own.forEach(({sample, readAtMs}, id) => {
      if (nowMs - readAtMs > this.staleAfterMs / 2) {
        this.own.delete(id);
        return;
      }
      const stamped = {...sample, stampMs: this.lastStampMs};
      this.heard.set(id, {sample: stamped, heardAtMs: nowMs, bit: OWN_BIT});
    });
  }

  private makeMessages(
    ring: ExchangeRing,
    bit: number,
    nowMs: number,
  ): OutgoingReport[] {
    const directions: Direction[] = [1, -1];
    return directions.flatMap(direction => {
      const samples = [...this.heard.values()]
        .filter(({heardAtMs}) => nowMs - heardAtMs < this.roundMs)
        .filter(({sample}) => this.directionOf(sample) === direction)
        .filter(heard => this.isPassedOn(heard, ring, bit, direction))
        .map(({sample}) => sample);
      const peer = ring.findPeer(bit, direction);
      const {current} = this.tables;
      const encoded = encodeLoads(samples, current);
      if (!peer || encoded.groups.length === 0) return [];
      const message = {
        type: 'loads' as const,
        table: current.claimsDigest,
        bit,
        ...encoded,
      };
      return [{toAddress: peer.peerAddress, message}];
    });
  }

  /**
   * Guards against one pair of nodes that can't reach each other: what it
   * does not pass on in one round comes the other way round in the next.
   */
  private directionOf({stampMs}: LoadSample): Direction {
    return Math.floor(stampMs / this.roundMs) % 2 === 0 ? 1 : -1;
  }

  private isPassedOn(
    {sample, bit: cameBy}: HeardSample,
    ring: ExchangeRing,
    bit: number,
    direction: Direction,
  ): boolean {
    if (cameBy === OWN_BIT) return true;
    const holder = this.tables.current.find(sample.backendServerId)?.holder;
    // A successor's load is told by a node that the agreed state doesn't name.
    return ring.isPassedOn(holder ?? '', bit, direction) ?? cameBy < bit;
  }

  private isOwn({backendServerId, epoch}: LoadSample): boolean {
    const own = this.own.get(backendServerId);
    return own !== undefined && own.sample.epoch >= epoch;
  }
}
