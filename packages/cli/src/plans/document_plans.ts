/** Builds the admin API requests for documents. */
import {DOCUMENT_KINDS, type DocumentKind} from '@mimosatack/records';
import {type AdminRequest} from '../admin_client.js';

export interface DocumentChange {
  kind: DocumentKind;
  id: string;
  content: unknown;
  expectedVersion: number;
  reason?: string;
}

/** Every kind of document, in publishing order. */
export const KINDS = DOCUMENT_KINDS;

export function toListPath(kind: DocumentKind): string {
  return `/admin/v1/${kind}s`;
}

export function toDocumentPath(kind: DocumentKind, id: string): string {
  return `${toListPath(kind)}/${encodeURIComponent(id)}`;
}

/** Builds a request that publishes a document. */
export function planPut(change: DocumentChange): AdminRequest {
  const {kind, id, content, expectedVersion, reason} = change;
  return {
    method: 'PUT',
    path: toDocumentPath(kind, id),
    body: {expectedVersion, content, reason},
  };
}

/** Builds a request that validates a document without publishing it. */
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

/** Builds a request that deletes a document. */
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
