/** Faults that a test switches on and off. */
import {type JsonObject, badRequest} from './input.js';

/** Faults of every stand-in. */
export interface ConnectionFaults {
  /** Callers, by `x-node-id`, whose connections are destroyed. */
  cutNodes: string[];
}

/** Keys of `T` whose values are numbers. */
type CounterKey<T> = {
  [K in keyof T]: T[K] extends number ? K : never;
}[keyof T];

/** The current faults of one stand-in. */
export class FaultSet<T extends object> {
  /** The current faults; change them only through `set`. */
  readonly values: T;

  /** @param onChange called after every change. */
  constructor(
    private readonly initial: T,
    private readonly onChange: () => void = () => undefined,
  ) {
    this.values = structuredClone(initial);
  }

  /** Changes the given faults and keeps the others. */
  set(changes: Partial<T>): void {
    Object.assign(this.values, changes);
    this.onChange();
  }

  /** Like `set`, for unchecked input; throws `bad-request`. */
  setFromJson(input: JsonObject): void {
    Object.entries(input).forEach(([name, value]) =>
      this.checkFault(name, value),
    );
    this.set(input as Partial<T>);
  }

  /** Restores the initial faults. */
  clear(): void {
    this.set(structuredClone(this.initial));
  }

  /** Decrements a "next N" counter; false if it is 0. */
  take(key: CounterKey<T>): boolean {
    const remaining = this.values[key] as number;
    if (remaining <= 0) return false;
    this.set({[key]: remaining - 1} as Partial<T>);
    return true;
  }

  private checkFault(name: string, value: unknown): void {
    const sample = (this.initial as JsonObject)[name];
    if (sample === undefined) throw badRequest(`There is no fault ${name}.`);
    if (!hasSameType(sample, value)) {
      throw badRequest(
        `Fault ${name} must look like ${JSON.stringify(sample)}.`,
      );
    }
  }
}

function hasSameType(sample: unknown, value: unknown): boolean {
  return Array.isArray(sample)
    ? Array.isArray(value) && value.every(item => typeof item === 'string')
    : typeof value === typeof sample;
}
