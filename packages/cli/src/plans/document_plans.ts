/** Plans for documents: plain data in, the request to send out. */
import {DOCUMENT_KINDS, type DocumentKind} from '@mimosatack/records';
import {type AdminRequest} from '../admin_client.js';

/** What is to be published. */
export interface DocumentChange {
  kind: DocumentKind;
  id: string;
  content: unknown;
  expectedVersion: number;
  reason?: string;
}

/** Every kind of document, in the order in which they are published. */
export const KINDS = DOCUMENT_KINDS;

/** The path of all documents of a kind. */
export function toListPath(kind: DocumentKind): string {
  return `/admin/v1/${kind}s`;
}

/** The path of one document. */
export function toDocumentPath(kind: DocumentKind, id: string): string {
  return `${toListPath(kind)}/${encodeURIComponent(id)}`;
}

/** Publishes a document. */
export function planPut(change: DocumentChange): AdminRequest {
  const {kind, id, content, expectedVersion, reason} = change;
  return {
    method: 'PUT',
    path: toDocumentPath(kind, id),
    body: {expectedVersion, content, reason},
  };
}

/** Tries a document out. */
export function planValidate(
  kind: DocumentKind,
  id: string,
  content: unknown,
): AdminRequest {
  return {
    method: 'POST',
    path: `${toDocumentPath(kind, id)}/validate`,
    body: {content},
  };
}

/** Deletes a document. */
export function planDelete(
  kind: DocumentKind,
  id: string,
  expectedVersion: number,
  reason?: string,
): AdminRequest {
  return {
    method: 'DELETE',
    path: toDocumentPath(kind, id),
    query: {expectedVersion, reason},
  };
}
