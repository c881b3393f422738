/** Schemas of values in records and messages that others write. */
import {isIPv4} from 'node:net';
import * as z from 'zod';
import {type SocketAddress} from './serving.js';

const MAX_PORT = 65_535;
const MAX_COUNT = 1_000_000;
/** The longest delay of a Node.js timer, which fires at once for a longer one. */
const MAX_DURATION_MS = 2_147_483_647;
/**
 * Unix time in milliseconds at the start of the year 2100. Guards against a value after
 * which no real one counts as later.
 */
const MAX_ORDINAL = 4_102_444_800_000;
/** Above the offsets of the latest era that a store can name. */
const MAX_OFFSET = 1_000_000_000_000_000;
const MAX_AMOUNT = 1_000_000_000_000;
const MAX_NAME_CHARS = 256;
const MAX_TEXT_CHARS = 4_096;
const HOST_PORT = /^[\w.-]+:([1-9]\d{0,4})$/;
const ADDRESS = /^([\d.]{7,15}):([1-9]\d{0,4})$/;

export const countSchema = z.int().nonnegative().max(MAX_COUNT);

/** Offsets of records and what is derived from them, such as fencing tokens. */
export const offsetSchema = z.int().nonnegative().max(MAX_OFFSET);

/** Sizes, rates and weights, in any unit. */
export const amountSchema = z.number().nonnegative().max(MAX_AMOUNT);

export const nameSchema = z.string().max(MAX_NAME_CHARS);

/** Paths, host names and keys. */
export const textSchema = z.string().max(MAX_TEXT_CHARS);

export const durationMsSchema = z.number().nonnegative().max(MAX_DURATION_MS);

/** Versions, counters that only grow, and Unix times in milliseconds. */
export const ordinalSchema = z.int().nonnegative().max(MAX_ORDINAL);

/** An IPv4 address and a port, as `ip:port`. */
export const addressSchema = z.string().transform((text, context) => {
  const address = parseAddress(text);
  if (address) return address;
  context.addIssue({code: 'custom', message: 'expected IP:PORT'});
  return z.NEVER;
});

/** An address as an object. */
export const socketAddressSchema = z.object({
  ip: z.string().refine(isIPv4, {error: 'expected an IPv4 address'}),
  port: z.int().min(1).max(MAX_PORT),
});

/** A host and a port, as `host:port`. */
export const hostPortSchema = z
  .string()
  .max(MAX_NAME_CHARS)
  .refine(isHostPort, {error: 'expected HOST:PORT'});

function isHostPort(text: string): boolean {
  const digits = HOST_PORT.exec(text)?.[1];
  return digits !== undefined && Number(digits) <= MAX_PORT;
}

/** Null if the text is no IPv4 address with a port from 1 to 65535. */
function parseAddress(text: string): SocketAddress | null {
  const [, ip = '', digits = ''] = ADDRESS.exec(text) ?? [];
  const port = Number(digits);
  return isIPv4(ip) && port <= MAX_PORT ? {ip, port} : null;
}
