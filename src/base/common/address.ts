/** Parsing of network addresses that other processes announce. */

export interface NetworkAddress {
  /** IPv4 address. */
  readonly ip: string
  readonly port: number
}

const ADDRESS_PATTERN = /^(?<ip>(?:0|[1-9]\d{0,2})(?:\.(?:0|[1-9]\d{0,2})){3}):(?<port>[1-9]\d{0,4})$/
const MAX_OCTET = 255
const MAX_PORT = 65_535

/** Parses `IP:PORT`; returns `undefined` for any other text, including octets and ports that are out of range. */
export function parseAddress (text: string): NetworkAddress | undefined {
  const { ip, port } = ADDRESS_PATTERN.exec(text)?.groups ?? {}
  if (ip === undefined || port === undefined || Number(port) > MAX_PORT || ip.split('.').some((octet) => Number(octet) > MAX_OCTET)) return undefined
  return { ip, port: Number(port) }
}
