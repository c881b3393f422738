/** A TCP proxy that can be cut off: it then passes on nothing and answers nothing. */
import net from 'node:net';

export class CutProxy {
  isCut = false;
  sockets = new Set();
  server = net.createServer({noDelay: true}, client => this.join(client));

  /** @param target the port on loopback to which bytes are passed on */
  constructor(target) {
    this.target = target;
  }

  listen() {
    return new Promise(resolve =>
      this.server.listen(0, '127.0.0.1', () =>
        resolve(`127.0.0.1:${this.server.address().port}`),
      ),
    );
  }

  /** From now on, open and new connections hang. */
  cut() {
    this.isCut = true;
  }

  /** What hung is reset; new connections work. */
  heal() {
    this.isCut = false;
    this.sockets.forEach(socket => socket.destroy());
  }

  close() {
    this.sockets.forEach(socket => socket.destroy());
    this.server.close();
  }

  join(client) {
    this.track(client);
    if (this.isCut) return;
    const target = net.connect(this.target, '127.0.0.1');
    this.track(target);
    this.pass(client, target);
    this.pass(target, client);
  }

  pass(from, to) {
    from.on('data', chunk => {
      if (!this.isCut) to.write(chunk);
    });
    from.on('close', () => {
      if (!this.isCut) to.destroy();
    });
  }

  track(socket) {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
  }
}
