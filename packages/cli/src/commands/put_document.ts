/** Publishes one document against the version in force. */
import {TypedError, toTypedError} from '@mimosatack/errors';
import {z} from 'zod';
import {type AdminClient} from '../admin_client.js';

/** What to publish. */
export interface DocumentChange {
  kind: 'team' | 'model' | 'service' | 'template' | 'event';
  id: string;
  content: unknown;
  reason?: string;
  /** The version that the change was made against; read when left out. */
  expectedVersion?: number;
}

const documentSchema = z.object({version: z.number()});

/** Publishes a document; rejects with `conflict` when another was first. */
export async function putDocument(
  client: AdminClient,
  change: DocumentChange,
): Promise<unknown> {
  const path = `/admin/v1/${change.kind}s/${encodeURIComponent(change.id)}`;
  const expectedVersion =
    change.expectedVersion ?? (await readVersion(client, path));
  return client.put(path, {
    expectedVersion,
    content: change.content,
    reason: change.reason,
  });
}

async function readVersion(client: AdminClient, path: string): Promise<number> {
  try {
    return documentSchema.parse(await client.get(path)).version;
  } catch (thrown) {
    const error = toTypedError(thrown);
    if (error.kind === 'not-found') return 0;
    throw error;
  }
}

/** Parses a document given as JSON text. */
export function parseContent(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new TypedError('bad-request', 'The document is not JSON.');
  }
}
