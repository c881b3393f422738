/** Encodes and decodes the stored record of services that run at several versions. */
import {type ServiceName} from '@mimosatack/types';
import * as z from 'zod';

const recordSchema = z.array(z.string());

/** Null if there is none, which deletes the record. */
export function encodeMixedServices(
  services: readonly ServiceName[],
): Uint8Array | null {
  if (services.length === 0) return null;
  return Buffer.from(JSON.stringify(services));
}

/** Null for a record with an invalid format. */
export function decodeMixedServices(value: Uint8Array): ServiceName[] | null {
  try {
    const text = Buffer.from(value).toString('utf8');
    return recordSchema.parse(JSON.parse(text));
  } catch {
    return null;
  }
}
