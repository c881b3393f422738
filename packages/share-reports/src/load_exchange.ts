/**
 * Distributes the loads of all backend servers to all nodes once a round. A
 * round has one step for each bit of a distance on the ring.
 */
import {type EngineBoard, type LoadSample} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {type TableHistory} from './backend_server_table.js';
import {type Direction, type ExchangeRing} from './exchange_ring.js';
import {decodeLoads, encodeLoads} from './load_codec.js';
import {type MessageOf, type OutgoingReport} from './messages.js';

const ROUND_UNIT_MS = 500;
/** Long enough for a peer to receive a message and tick before the next step. */
const MIN_STEP_MS = 200;
/** The number of backend servers whose loads fit into one `ROUND_UNIT_MS`. */
const BACKEND_SERVERS_PER_UNIT = 175;
const MIN_STALE_AFTER_MS = 10_000;
const STALE_ROUNDS = 5;
/** Caps the computed age of a load, which can be too high if clocks differ. */
const MAX_AGE_MS = 10_000;
/** The `bit` of a load that this node has read itself. */
const OWN_BIT = -1;

interface KnownLoad {
  sample: LoadSample;
  updatedAtMs: number;
  /** The step in which the load arrived, or `OWN_BIT`. */
  bit: number;
}

/** The last load that this node has read from a backend server. */
export interface OwnLoad {
  sample: Omit<LoadSample, 'stampMs'>;
  readAtMs: number;
}

/**
 * Schedules steps by the wall clock, so that all nodes do the same step at about
 * the same time and a load reaches all nodes within a round. If clocks differ,
 * loads arrive a round or two later.
 */
export class LoadExchange {
  private readonly knownLoads = new Map<BackendServerId, KnownLoad>();
  private readonly own = new Map<BackendServerId, OwnLoad>();
  private lastStep: number | null = null;
  private lastStampMs = 0;
  private schedule = '';
  private ring: ExchangeRing | null = null;

  constructor(
    private readonly tables: TableHistory,
    private readonly board: EngineBoard,
  ) {}

  /** Grows with the number of backend servers to limit the bytes per second. */
  get roundMs(): number {
    const units = Math.ceil(
      this.tables.current.rows.length / BACKEND_SERVERS_PER_UNIT,
    );
    const stepsMs = MIN_STEP_MS * (this.ring?.stepCount ?? 0);
    return Math.max(ROUND_UNIT_MS, ROUND_UNIT_MS * units, stepsMs);
  }

  /** The time without reports after which a backend server counts as unknown. */
  get staleAfterMs(): number {
    return Math.max(MIN_STALE_AFTER_MS, STALE_ROUNDS * this.roundMs);
  }

  setRing(ring: ExchangeRing): void {
    this.ring = ring;
  }

  publish(load: OwnLoad): void {
    this.own.set(load.sample.backendServerId, load);
  }

  removeUnregistered(): void {
    const {current} = this.tables;
    [this.knownLoads, this.own].forEach(map =>
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
        if (!this.board.applyLoad(sample, ageMs, nowMs)) return;
        this.knownLoads.set(sample.backendServerId, {
          sample,
          updatedAtMs: nowMs,
          bit,
        });
      });
  }

  /** The steps that have become due since the last tick, at most one round. */
  private listDueSteps(ring: ExchangeRing, wallMs: number): number[] {
    const {stepCount} = ring;
    if (stepCount === 0) return [];
    const step = Math.floor((wallMs * stepCount) / this.roundMs);
    const schedule = `${stepCount} ${this.roundMs}`;
    const isScheduleChanged = schedule !== this.schedule;
    const last = this.lastStep ?? step - 1;
    const isClockJump = Math.abs(step - last) > stepCount;
    this.schedule = schedule;
    const from = isScheduleChanged || isClockJump ? step - 1 : last;
    this.lastStep = Math.max(from, step);
    return Array.from(
      {length: Math.max(0, step - from)},
      (_, position) => from + 1 + position,
    );
  }

  /**
   * Stamps increase even if the wall clock is set back. Guards against peers
   * that reject the loads of this node until its clock has caught up.
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
      this.knownLoads.set(id, {
        sample: stamped,
        updatedAtMs: nowMs,
        bit: OWN_BIT,
      });
    });
  }

  private makeMessages(
    ring: ExchangeRing,
    bit: number,
    nowMs: number,
  ): OutgoingReport[] {
    const directions: Direction[] = [1, -1];
    return directions.flatMap(direction => {
      const samples = [...this.knownLoads.values()]
        .filter(({updatedAtMs}) => nowMs - updatedAtMs < this.roundMs)
        .filter(({sample}) => this.directionOf(sample) === direction)
        .filter(load => this.shouldForward(load, ring, bit, direction))
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
   * Alternates the direction each round. Guards against a broken link between
   * two nodes: loads that it blocks take the other direction in the next round.
   */
  private directionOf({stampMs}: LoadSample): Direction {
    return Math.floor(stampMs / this.roundMs) % 2 === 0 ? 1 : -1;
  }

  private shouldForward(
    {sample, bit: arrivalBit}: KnownLoad,
    ring: ExchangeRing,
    bit: number,
    direction: Direction,
  ): boolean {
    if (arrivalBit === OWN_BIT) return true;
    const holder = this.tables.current.find(sample.backendServerId)?.holder;
    // If a successor reads the load, the holder may be missing from the ring.
    return ring.shouldForward(holder ?? '', bit, direction) ?? arrivalBit < bit;
  }

  private isOwn({backendServerId, epoch}: LoadSample): boolean {
    const own = this.own.get(backendServerId);
    return own !== undefined && own.sample.epoch >= epoch;
  }
}
