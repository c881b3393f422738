/** Circuit breakers of backend servers. */
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';

/**
 * `closed`: requests are sent. `open`: none are sent. `half-open`: one request at
 * a time is sent as a probe.
 */
export type CircuitState = 'closed' | 'open' | 'half-open';

interface Circuit {
  failures: number;
  cause: 'failing' | 'slow';
  /** Null if the circuit has not opened. */
  openUntilMs: number | null;
  /** Number of times the circuit opened since the last success. */
  openCount: number;
  isProbing: boolean;
}

const MAX_FAILURES = 3;
const FIRST_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;
/** Jitter, so that nodes do not probe a server at the same time. */
const OPEN_JITTER = 0.5;

/** Circuits of the backend servers with failures or slow answers. */
export class CircuitTable {
  private readonly circuits = new Map<BackendServerId, Circuit>();

  constructor(private readonly random: RandomSource) {}

  findState(id: BackendServerId, nowMs: number): CircuitState {
    const openUntilMs = this.circuits.get(id)?.openUntilMs ?? null;
    if (openUntilMs === null) return 'closed';
    return nowMs < openUntilMs ? 'open' : 'half-open';
  }

  /** Whether a request may be sent, possibly as a probe. */
  allows(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.circuits.get(id);
    if (!circuit) return true;
    const state = this.findState(id, nowMs);
    return state === 'closed' || (state === 'half-open' && !circuit.isProbing);
  }

  /** Whether the server is slow but not failing, and so usable as a last resort. */
  isSlowOnly(id: BackendServerId): boolean {
    return this.circuits.get(id)?.cause === 'slow';
  }

  noteSent(id: BackendServerId, nowMs: number): void {
    const circuit = this.circuits.get(id);
    if (circuit && this.findState(id, nowMs) === 'half-open') {
      circuit.isProbing = true;
    }
  }

  /** Closes the circuit; returns whether it had opened. */
  noteSuccess(id: BackendServerId): boolean {
    const wasOpen = (this.circuits.get(id)?.openUntilMs ?? null) !== null;
    this.circuits.delete(id);
    return wasOpen;
  }

  /** Records a failure; returns whether it opened the circuit. */
  noteFailure(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.getOrCreate(id);
    circuit.failures += 1;
    const isProbe = circuit.openUntilMs !== null;
    const isOpen = isProbe && nowMs < (circuit.openUntilMs ?? 0);
    if (isOpen || (!isProbe && circuit.failures < MAX_FAILURES)) return false;
    this.open(circuit, 'failing', nowMs);
    return !isProbe;
  }

  /** Opens the circuit of a slow server; returns whether it was closed before. */
  noteSlow(id: BackendServerId, nowMs: number): boolean {
    const circuit = this.getOrCreate(id);
    const wasOpen = circuit.openUntilMs !== null;
    if (wasOpen && nowMs < (circuit.openUntilMs ?? 0)) return false;
    this.open(circuit, 'slow', nowMs);
    return !wasOpen;
  }

  /** Ends a probe without a result, such as a cancelled request. */
  noteInconclusive(id: BackendServerId): void {
    const circuit = this.circuits.get(id);
    if (circuit) circuit.isProbing = false;
  }

  forget(id: BackendServerId): void {
    this.circuits.delete(id);
  }

  private open(circuit: Circuit, cause: Circuit['cause'], nowMs: number): void {
    const baseMs = Math.min(
      MAX_OPEN_MS,
      FIRST_OPEN_MS * 2 ** circuit.openCount,
    );
    circuit.cause = cause;
    circuit.openUntilMs = nowMs + addJitter(this.random, baseMs, OPEN_JITTER);
    circuit.openCount += 1;
    circuit.isProbing = false;
  }

  private getOrCreate(id: BackendServerId): Circuit {
    const existing = this.circuits.get(id);
    if (existing) return existing;
    const circuit: Circuit = {
      failures: 0,
      cause: 'failing',
      openUntilMs: null,
      openCount: 0,
      isProbing: false,
    };
    this.circuits.set(id, circuit);
    return circuit;
  }
}
