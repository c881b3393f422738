/** Finds the version that a change must name. */
import {toTypedError} from '@mimosatack/errors';
import {type DocumentKind} from '@mimosatack/records';
import {type AdminClient} from '../../admin_client.js';
import {type DocumentAnswer, documentSchema} from '../../answers.js';
import {toDocumentPath} from '../../plans/document_plans.js';

/** Reads one document. */
export function readDocument(
  client: AdminClient,
  kind: DocumentKind,
  id: string,
): Promise<DocumentAnswer> {
  const path = toDocumentPath(kind, id);
  return client.send({method: 'GET', path}, documentSchema);
}

/** The version in force; for one that is deleted, the one it would go on at. */
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
