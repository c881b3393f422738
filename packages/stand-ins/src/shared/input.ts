/** Readers that validate JSON input from callers and tests. */
import {HttpProblem} from './http_problem.js';

/** A JSON object whose fields are unchecked. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a request body; an absent or empty body is `{}`. */
export function parseJsonObject(body: unknown): JsonObject {
  const text = Buffer.isBuffer(body) ? body.toString('utf8') : '';
  const value = text === '' ? {} : parseJson(text);
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw badRequest('The body must be a JSON object.');
  }
  return value as JsonObject;
}

/** Reads a required string field. */
export function readString(object: JsonObject, field: string): string {
  const value = object[field];
  if (typeof value !== 'string') throw badRequest(`${field} must be a string.`);
  return value;
}

/** Reads an optional string field; null if absent. */
export function readNullableString(
  object: JsonObject,
  field: string,
): string | null {
  return object[field] == null ? null : readString(object, field);
}

/** Reads a finite number, or `fallback` if the field is absent or null. */
export function readNumber(
  object: JsonObject,
  field: string,
  fallback?: number,
): number {
  const value = object[field] ?? fallback;
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    throw badRequest(`${field} must be a number.`);
  }
  return value;
}

/** Reads a field that must equal one of `choices`. */
export function readChoice<T extends string>(
  object: JsonObject,
  field: string,
  choices: readonly T[],
): T {
  const found = choices.find(choice => choice === object[field]);
  if (found === undefined) {
    throw badRequest(`${field} must be one of ${choices.join(', ')}.`);
  }
  return found;
}

/** The error for invalid input. */
export function badRequest(message: string): HttpProblem {
  return new HttpProblem(400, 'bad-request', message);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw badRequest('The body must be JSON.');
  }
}
