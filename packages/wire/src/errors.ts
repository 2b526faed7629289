/** Errors in input from outside the process: bodies, peers' frames and settings files. */

/** A body is not MessagePack, or does not match the schema of its interface. */
export class WireError extends Error {
  override readonly name: string = 'WireError';
}

/** A message is larger than this process takes, or decoding it would need too much memory. */
export class TooLargeError extends WireError {
  override readonly name = 'TooLargeError';
}

/** Bytes from another controller are not a valid frame of the peer protocol. */
export class PeerProtocolError extends Error {
  override readonly name = 'PeerProtocolError';
}

/** A settings file can't be parsed, or a setting in it is missing or out of range. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
