/** Faults that a test switches on and off. */
import {type JsonObject, badRequest} from './input.js';

/** Faults that every stand-in knows. */
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
  /** The faults in force; read it, but change it through `set`. */
  readonly values: T;

  /** @param onChange called after every change. */
  constructor(
    private readonly none: T,
    private readonly onChange: () => void = () => undefined,
  ) {
    this.values = structuredClone(none);
  }

  /** Changes the given faults and leaves the others as they are. */
  set(changes: Partial<T>): void {
    Object.assign(this.values, changes);
    this.onChange();
  }

  /** Like `set`, for input that has not been checked. */
  setFromJson(input: JsonObject): void {
    Object.entries(input).forEach(([name, value]) =>
      this.checkFault(name, value),
    );
    this.set(input as Partial<T>);
  }

  /** Lifts all faults. */
  clear(): void {
    this.set(structuredClone(this.none));
  }

  /** Uses up one of the "next N" faults; false when none is left. */
  take(key: CounterKey<T>): boolean {
    const left = this.values[key] as number;
    if (left <= 0) return false;
    this.set({[key]: left - 1} as Partial<T>);
    return true;
  }

  private checkFault(name: string, value: unknown): void {
    const sample = (this.none as JsonObject)[name];
    if (sample === undefined) throw badRequest(`There is no fault ${name}.`);
    if (!hasShapeOf(sample, value)) {
      throw badRequest(
        `Fault ${name} must look like ${JSON.stringify(sample)}.`,
      );
    }
  }
}

function hasShapeOf(sample: unknown, value: unknown): boolean {
  return Array.isArray(sample)
    ? Array.isArray(value) && value.every(item => typeof item === 'string')
    : typeof value === typeof sample;
}
