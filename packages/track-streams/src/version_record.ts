/** Encodes and decodes the stored record of the software versions of each service. */
import {
  type ServiceName,
  nameSchema,
  ordinalSchema,
  parseJsonRecord,
} from '@mimosatack/types';
import * as z from 'zod';

/** The versions at which streams of each service may have begun. */
export type RecordedVersions = ReadonlyMap<ServiceName, readonly string[]>;

export interface VersionRecord {
  services: RecordedVersions;
  /** How often the store had come back from a copy when the record was written. */
  era: number;
}

const recordSchema = z.object({
  services: z.record(nameSchema, z.array(nameSchema)),
  era: ordinalSchema,
});

export function encodeVersionRecord({
  services,
  era,
}: VersionRecord): Uint8Array | null {
  if (services.size === 0) return null;
  const record = {services: Object.fromEntries(services), era};
  return Buffer.from(JSON.stringify(record));
}

/** Null for a record with an invalid format, such as that of the previous release. */
export function decodeVersionRecord(value: Uint8Array): VersionRecord | null {
  try {
    const {services, era} = parseJsonRecord(value, recordSchema);
    return {services: new Map(Object.entries(services)), era};
  } catch {
    return null;
  }
}
