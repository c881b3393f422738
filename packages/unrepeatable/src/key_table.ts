import {type Clock, type Timer} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type KeptAnswer, type KeyedAnswer} from './kept_answer.js';
import {
  makeAnswerNotKeptError,
  makeKeyReusedError,
  makeOutcomeUnknownError,
  makeStillRunningError,
} from './refusals.js';

export interface KeyTableOptions {
  clock: Clock;
  /** Larger answers are not stored; the key still counts as run. */
  maxAnswerBytes: number;
  /** The limit of the bytes of all stored answers; further ones are not stored. */
  maxKeptBytes: number;
  /** Whether a key may run again after its run failed with this error. */
  canRunAgainAfter(error: TypedError): boolean;
}

export interface KeyedRequest {
  keyHash: string;
  requestHash: string;
  generation: number;
  /** The deadline of the caller, on the monotonic clock. */
  expiresAtMs: number;
}

export type FinishedKey =
  {outcome: 'ran'; answer: KeptAnswer | null} | {outcome: 'unknown'};

type KeyState = FinishedKey | {outcome: 'running'; run: Promise<KeptAnswer>};

interface KeyEntry {
  requestHash: string;
  state: KeyState;
}

/** A finished key in the form that is sent to another process. */
export type FinishedKeyRecord = FinishedKey & {
  keyHash: string;
  requestHash: string;
  generation: number;
};

/** Runs each key at most once and returns its outcome to all later callers. */
export class KeyTable {
  private readonly generations = new Map<number, Map<string, KeyEntry>>();
  private keyCount = 0;
  private storedBytes = 0;
  private runningCount = 0;
  private idleWaiters: Array<() => void> = [];

  constructor(private readonly options: KeyTableOptions) {}

  get size(): number {
    return this.keyCount;
  }

  get answerBytes(): number {
    return this.storedBytes;
  }

  get oldestGeneration(): number | null {
    return this.generations.size === 0
      ? null
      : Math.min(...this.generations.keys());
  }

  has({generation, keyHash}: KeyedRequest): boolean {
    return this.generations.get(generation)?.has(keyHash) ?? false;
  }

  /**
   * Calls `start` unless the key was started before, and waits for the outcome
   * until the request expires. The run continues after that, so that a later
   * request can return its outcome.
   */
  async runOnce(
    request: KeyedRequest,
    start: () => Promise<KeptAnswer>,
  ): Promise<KeyedAnswer> {
    const known = this.generations
      .get(request.generation)
      ?.get(request.keyHash);
    if (!known) {
      return {answer: await this.startRun(request, start), isReplay: false};
    }
    if (known.requestHash !== request.requestHash) throw makeKeyReusedError();
    return {answer: await this.replay(known.state, request), isReplay: true};
  }

  /** Removes all keys of generations before `generation`. */
  dropBefore(generation: number): void {
    [...this.generations.keys()]
      .filter(known => known < generation)
      .forEach(known => this.drop(known));
  }

  /** Resolves when no key is running. */
  whenIdle(): Promise<void> {
    if (this.runningCount === 0) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }

  /** Lists all keys; the outcome of a running key is `unknown`. */
  list(): FinishedKeyRecord[] {
    return [...this.generations].flatMap(([generation, entries]) =>
      [...entries].map(([keyHash, {requestHash, state}]) => ({
        ...(state.outcome === 'running'
          ? {outcome: 'unknown' as const}
          : state),
        keyHash,
        requestHash,
        generation,
      })),
    );
  }

  private startRun(
    request: KeyedRequest,
    start: () => Promise<KeptAnswer>,
  ): Promise<KeptAnswer> {
    const run = start();
    const entry: KeyEntry = {
      requestHash: request.requestHash,
      state: {outcome: 'running', run},
    };
    this.add(request, entry);
    this.runningCount += 1;
    run.then(
      answer => this.finish(request, entry, this.toFinishedKey(answer)),
      (thrown: unknown) => this.fail(request, entry, toTypedError(thrown)),
    );
    return this.waitFor(run, request);
  }

  private replay(state: KeyState, request: KeyedRequest): Promise<KeptAnswer> {
    switch (state.outcome) {
      case 'running':
        return this.waitFor(state.run, request);
      case 'unknown':
        throw makeOutcomeUnknownError('The outcome of this key was lost.');
      case 'ran':
        if (state.answer === null) throw makeAnswerNotKeptError();
        return Promise.resolve(state.answer);
    }
  }

  private waitFor(
    run: Promise<KeptAnswer>,
    {expiresAtMs}: KeyedRequest,
  ): Promise<KeptAnswer> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const timer: Timer = clock.setTimer(
        expiresAtMs - clock.monotonicMs(),
        () => reject(makeStillRunningError()),
      );
      run.then(resolve, reject).finally(() => timer.cancel());
    });
  }

  private add({generation, keyHash}: KeyedRequest, entry: KeyEntry): void {
    const entries =
      this.generations.get(generation) ?? new Map<string, KeyEntry>();
    entries.set(keyHash, entry);
    this.generations.set(generation, entries);
    this.keyCount += 1;
  }

  private finish(
    request: KeyedRequest,
    entry: KeyEntry,
    state: FinishedKey,
  ): void {
    const isKept = this.isRemembered(request, entry);
    if (isKept) {
      entry.state = state;
      this.storedBytes += countBytes(state);
    }
    this.recordRunEnd();
  }

  private fail(
    request: KeyedRequest,
    entry: KeyEntry,
    error: TypedError,
  ): void {
    if (!this.options.canRunAgainAfter(error)) {
      this.finish(
        request,
        entry,
        error.run === 'ran'
          ? {outcome: 'ran', answer: null}
          : {outcome: 'unknown'},
      );
      return;
    }
    if (this.isRemembered(request, entry)) {
      this.generations.get(request.generation)?.delete(request.keyHash);
      this.keyCount -= 1;
    }
    this.recordRunEnd();
  }

  private toFinishedKey(answer: KeptAnswer): FinishedKey {
    const {maxAnswerBytes, maxKeptBytes} = this.options;
    const bytes = answer.body.length;
    const fits =
      bytes <= maxAnswerBytes && this.storedBytes + bytes <= maxKeptBytes;
    return {outcome: 'ran', answer: fits ? answer : null};
  }

  private isRemembered(
    {generation, keyHash}: KeyedRequest,
    entry: KeyEntry,
  ): boolean {
    return this.generations.get(generation)?.get(keyHash) === entry;
  }

  private recordRunEnd(): void {
    this.runningCount -= 1;
    if (this.runningCount > 0) return;
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    waiters.forEach(resolve => resolve());
  }

  private drop(generation: number): void {
    const entries = [...(this.generations.get(generation)?.values() ?? [])];
    this.keyCount -= entries.length;
    this.storedBytes -= entries
      .map(entry => countBytes(entry.state))
      .reduce((sum, bytes) => sum + bytes, 0);
    this.generations.delete(generation);
  }
}

function countBytes(state: KeyState): number {
  return state.outcome === 'ran' ? (state.answer?.body.length ?? 0) : 0;
}
