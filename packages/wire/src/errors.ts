/** Errors of what comes from outside: bodies, frames between controllers, settings files. */

/** A body that is not MessagePack, or does not have the form that its interface asks for. */
export class WireError extends Error {
  override readonly name = 'WireError';
}

/** Bytes from another controller that are no frame of the protocol between controllers. */
export class PeerProtocolError extends Error {
  override readonly name = 'PeerProtocolError';
}

/** A settings file that can't be parsed, or a setting in it that is missing or out of range. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
