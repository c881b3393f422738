/** Reads a certificate with its key and checks that they belong together. */
import {X509Certificate} from 'node:crypto';
import {readFile, stat} from 'node:fs/promises';
import {createSecureContext} from 'node:tls';
import {TypedError} from '@mimosatack/errors';

/** Where a certificate and its key lie. */
export interface KeyPairPaths {
  certPath: string;
  keyPath: string;
}

/** A certificate that fits its key. */
export interface KeyPair {
  cert: string;
  key: string;
  /** When the certificate expires, as it says itself. */
  validTo: string;
}

/** Reads and checks a pair; rejects with `bad-request` and a remedy. */
export async function readKeyPair(paths: KeyPairPaths): Promise<KeyPair> {
  const [cert, key] = await Promise.all([
    readPem(paths.certPath),
    readPem(paths.keyPath),
  ]);
  try {
    createSecureContext({cert, key});
    return {cert, key, validTo: new X509Certificate(cert).validTo};
  } catch (thrown) {
    throw new TypedError(
      'bad-request',
      `${paths.certPath} and ${paths.keyPath} are no usable pair`,
      {
        remedy: 'Write a PEM certificate with its own private key.',
        cause: toError(thrown),
      },
    );
  }
}

/** A text that changes whenever one of the files is written or replaced. */
export async function readFingerprint(paths: KeyPairPaths): Promise<string> {
  const stats = await Promise.all(
    [paths.certPath, paths.keyPath].map(path => stat(path)),
  );
  return stats
    .map(({mtimeMs, size, ino}) => `${mtimeMs}:${size}:${ino}`)
    .join(' ');
}

async function readPem(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (thrown) {
    throw new TypedError('bad-request', `${path} can't be read`, {
      remedy: 'Check the path and who may read it.',
      cause: toError(thrown),
    });
  }
}

function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
