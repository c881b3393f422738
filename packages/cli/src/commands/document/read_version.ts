/** Reads documents and the version that a change must expect. */
import {toTypedError} from '@mimosatack/errors';
import {type DocumentKind} from '@mimosatack/records';
import {type AdminClient} from '../../admin_client.js';
import {type DocumentResponse, documentSchema} from '../../responses.js';
import {toDocumentPath} from '../../plans/document_plans.js';

export function readDocument(
  client: AdminClient,
  kind: DocumentKind,
  id: string,
): Promise<DocumentResponse> {
  const path = toDocumentPath(kind, id);
  return client.send({method: 'GET', path}, documentSchema);
}

/** Reads the version to expect; for a deleted document, the node reports it. */
export async function readVersion(
  client: AdminClient,
  kind: DocumentKind,
  id: string,
): Promise<number> {
  try {
    return (await readDocument(client, kind, id)).version;
  } catch (thrown) {
    const error = toTypedError(thrown);
    if (error.kind !== 'not-found') throw error;
    const next = error.details.info?.['nextExpectedVersion'];
    return typeof next === 'number' ? next : 0;
  }
}
