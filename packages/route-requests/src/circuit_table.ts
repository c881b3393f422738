/** Leaves out backend servers that fail or are slow, and tries them again. */
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';

/**
 * `open`: nothing is sent. `half-open`: one request at a time is sent as a
 * probe. Servers without trouble are `closed`.
 */
export type CircuitState = 'closed' | 'open' | 'half-open';

interface Circuit {
  failures: number;
  cause: 'failing' | 'slow';
  /** Null while it has not been opened. */
  openUntilMs: number | null;
  /** How often it was opened without a good answer in between. */
  openings: number;
  isProbing: boolean;
}

const MAX_FAILURES = 3;
const FIRST_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;
/** Nodes probe at different times, so that a probe is no burst. */
const OPEN_SPREAD = 0.5;

/** The circuits of all backend servers that have had trouble. */
export class CircuitTable {
  private readonly circuits = new Map<BackendServerId, Circuit>();

  constructor(private readonly random: RandomSource) {}

  findState(id: BackendServerId, nowMs: number): CircuitState {
    const openUntilMs = this.circuits.get(id)?.openUntilMs ?? null;
    if (openUntilMs === null) return 'closed';
    return nowMs < openUntilMs ? 'open' : 'half-open';
  }

  /** Whether a request may be sent, as a probe if need be. */
  allows(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.circuits.get(id);
    if (!circuit) return true;
    const state = this.findState(id, nowMs);
    return state === 'closed' || (state === 'half-open' && !circuit.isProbing);
  }

  /** A slow server is still better than none; a failing one is not. */
  isMerelySlow(id: BackendServerId): boolean {
    return this.circuits.get(id)?.cause === 'slow';
  }

  noteSent(id: BackendServerId, nowMs: number): void {
    const circuit = this.circuits.get(id);
    if (circuit && this.findState(id, nowMs) === 'half-open') {
      circuit.isProbing = true;
    }
  }

  /** A good answer closes the circuit; returns whether it was open. */
  noteSuccess(id: BackendServerId): boolean {
    const wasOpen = (this.circuits.get(id)?.openUntilMs ?? null) !== null;
    this.circuits.delete(id);
    return wasOpen;
  }

  /** Returns whether the failure opened the circuit. */
  noteFailure(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.openEntry(id);
    circuit.failures += 1;
    const isProbe = circuit.openUntilMs !== null;
    const isOpen = isProbe && nowMs < (circuit.openUntilMs ?? 0);
    if (isOpen || (!isProbe && circuit.failures < MAX_FAILURES)) return false;
    this.open(circuit, 'failing', nowMs);
    return !isProbe;
  }

  /** Opens the circuit of a server that is much slower than its peers. */
  noteSlow(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.openEntry(id);
    const wasOpen = circuit.openUntilMs !== null;
    if (wasOpen && nowMs < (circuit.openUntilMs ?? 0)) return false;
    this.open(circuit, 'slow', nowMs);
    return !wasOpen;
  }

  /** A probe that ended without telling anything, such as a cancelled one. */
  noteNeutral(id: BackendServerId): void {
    const circuit = this.circuits.get(id);
    if (circuit) circuit.isProbing = false;
  }

  forget(id: BackendServerId): void {
    this.circuits.delete(id);
  }

  private open(circuit: Circuit, cause: Circuit['cause'], nowMs: number): void {
    const baseMs = Math.min(MAX_OPEN_MS, FIRST_OPEN_MS * 2 ** circuit.openings);
    circuit.cause = cause;
    circuit.openUntilMs = nowMs + addJitter(this.random, baseMs, OPEN_SPREAD);
    circuit.openings += 1;
    circuit.isProbing = false;
  }

  private openEntry(id: BackendServerId): Circuit {
    const known = this.circuits.get(id);
    if (known) return known;
    const circuit: Circuit = {
      failures: 0,
      cause: 'failing',
      openUntilMs: null,
      openings: 0,
      isProbing: false,
    };
    this.circuits.set(id, circuit);
    return circuit;
  }
}
