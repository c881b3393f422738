import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RequestTokenSigner} from './index.js';

const test = suite('request tokens');

const CONTENT = {
  backendServerId: 'r1',
  engineRequestId: 'q1',
  expiresAtMs: 1_000,
  entryIncarnation: 'entry-1.0',
};

function createToken() {
  const mint = new RequestTokenSigner('a-secret-of-the-cluster');
  return {mint, token: mint.issue(CONTENT, 'prairie')};
}

test('a token is valid on another node with the same secret', () => {
  const {token} = createToken();
  const other = new RequestTokenSigner('a-secret-of-the-cluster');
  assert.equal(other.verify(token, 'prairie', 999), CONTENT);
});

test("forged, expired and other teams' tokens are rejected alike", () => {
  // Guards against reading another team's response or probing for requests.
  const {mint, token} = createToken();
  const [form, payload, mac] = token.split('.');
  const forgedPayload = Buffer.from(
    Buffer.from(payload ?? '', 'base64url')
      .toString('utf8')
      .replace('q1', 'q2'),
  ).toString('base64url');
  const foreignToken = new RequestTokenSigner('another-secret').issue(
    CONTENT,
    'prairie',
  );
  const texts = [
    foreignToken,
    `${form}.${forgedPayload}.${mac}`,
    `${form}.${payload}.${mac}.x`,
    `${form}.${payload}`,
    'q1',
    '',
    'x'.repeat(100_000),
  ];
  texts.forEach(text => assert.is(mint.verify(text, 'prairie', 0), null, text));
  assert.is(mint.verify(token, 'zorza', 0), null);
  assert.is(mint.verify(token, 'prairie', 1_000), null);
});

test('a token does not contain the name of the team', () => {
  const {token} = createToken();
  const payload = Buffer.from(token.split('.')[1] ?? '', 'base64url');
  assert.not(payload.toString('utf8').includes('prairie'));
});

test.run();
