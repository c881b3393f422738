import {mkdtemp, rm, unlink, writeFile} from 'node:fs/promises';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {connect} from 'node:tls';
import {SystemClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {generate} from 'selfsigned';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type KeyPairPaths, TlsListener} from './index.js';

async function makePair(commonName: string) {
  const {cert, private: key} = await generate([
    {name: 'commonName', value: commonName},
  ]);
  return {cert, key};
}

function createListener(
  paths: KeyPairPaths,
  logger = new MemoryEventLogger(),
): TlsListener {
  return new TlsListener({
    clock: new SystemClock(),
    logger,
    listener: 'callers',
    paths,
    pollIntervalMs: 1_000,
  });
}

/** Starts an HTTPS server with a certificate for `first` in a temporary folder. */
async function createFixture() {
  const folder = await mkdtemp(join(tmpdir(), 'mimosatack-tls-'));
  const paths = {
    certPath: join(folder, 'cert.pem'),
    keyPath: join(folder, 'key.pem'),
  };
  const write = async (pair: {cert: string; key: string}) => {
    await writeFile(paths.certPath, pair.cert);
    await writeFile(paths.keyPath, pair.key);
  };
  await write(await makePair('first'));
  const logger = new MemoryEventLogger();
  const listener = createListener(paths, logger);
  const server = listener.createServer((_incoming, reply) => reply.end('ok'));
  await listener.start();
  listener.stop();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const close = async () => {
    server.close();
    server.closeAllConnections();
    await rm(folder, {recursive: true});
  };
  return {paths, write, logger, listener, port, close};
}

/** Returns the common name that the server presents to a new connection. */
function readCommonName(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(
      {port, host: '127.0.0.1', rejectUnauthorized: false},
      () => {
        resolve(String(socket.getPeerCertificate().subject.CN));
        socket.destroy();
      },
    );
    socket.once('error', reject);
  });
}

const listeners = suite('TLS listener');

listeners('a replaced key pair is used for new connections', async () => {
  const {write, logger, listener, port, close} = await createFixture();
  assert.is(await readCommonName(port), 'first');
  await write(await makePair('second'));
  await listener.reload();
  assert.is(await readCommonName(port), 'second');
  await listener.reload();
  assert.is(logger.fieldsOf('certificate-replaced').length, 1);
  await close();
});

/**
 * Guards against loading a renewed certificate before its key is written, which
 * would break every new connection.
 */
listeners('a mismatched pair does not replace the old one', async () => {
  const {paths, write, logger, listener, port, close} = await createFixture();
  const second = await makePair('second');
  await writeFile(paths.certPath, second.cert);
  await listener.reload();
  await listener.reload();
  assert.is(await readCommonName(port), 'first');
  assert.is(logger.fieldsOf('certificate-rejected').length, 1);
  await write(second);
  await listener.reload();
  assert.is(await readCommonName(port), 'second');
  await close();
});

/** Guards against a renewal tool that deletes the files before it writes them. */
listeners('the old pair stays in use while files are missing', async () => {
  const {paths, listener, logger, port, close} = await createFixture();
  await unlink(paths.keyPath);
  await listener.reload();
  assert.is(await readCommonName(port), 'first');
  assert.is(logger.fieldsOf('certificate-rejected').length, 1);
  await close();
});

listeners('an invalid pair at the start rejects with a remedy', async () => {
  const {paths, close} = await createFixture();
  await writeFile(paths.certPath, 'no certificate');
  const error = await createListener(paths)
    .start()
    .catch((thrown: unknown) => thrown);
  assert.instance(error, TypedError);
  assert.match((error as TypedError).remedy, /PEM certificate/);
  await close();
});

listeners.run();
