/** Receives the bodies of HTTP messages. */
import type { Readable } from 'node:stream';
import { ByteAccumulator } from '@tealdock/wire';

/** What a body's receiver decides and does. */
export interface BodyReceiver {
  /** Whether `addedBytes` more may be kept; false, with the whole length, refuses the body. */
  mayKeep(addedBytes: number, length: number): boolean;
  /** Called once a body that was not refused is complete. */
  onComplete(body: Buffer): void;
}

/** Receives a body in pieces; after a refusal the rest is read and dropped. */
export function receiveBody(stream: Pick<Readable, 'on'>, receiver: BodyReceiver): void {
  const body = new ByteAccumulator();
  let isRefused = false;
  stream.on('data', (piece: Buffer) => {
    isRefused ||= !receiver.mayKeep(piece.length, body.length + piece.length);
    if (!isRefused) body.append(piece);
  });
  stream.on('end', () => {
    if (!isRefused) receiver.onComplete(body.bytes());
  });
}
