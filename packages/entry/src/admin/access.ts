/** Access to the administration API: bearer tokens, stored only as digests, and roles. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

/** Role of the holder of a token. */
export enum Role {
  /** May read everything. */
  Reader = 'reader',
  /** May read everything and change one team. */
  Operator = 'operator',
  /** May read and change everything. */
  Administrator = 'administrator'
}

/** The holder of a token. */
export interface Principal {
  name: string
  role: Role
  /** The team of an operator; empty for other roles. */
  team: string
}

/** A stored grant: the digest of a token and its holder. */
export interface TokenGrant {
  principal: Principal
  /** SHA-256 digest of the token in hexadecimal. Tokens are random, so they need no salt. */
  digestHex: string
}

/** Permission that a route requires. */
export enum Permission {
  Read = 'read',
  Change = 'change'
}

const TOKEN_BYTES = 32
const DIGEST_PATTERN = /^[0-9a-f]{64}$/
const NAME_PATTERN = /^[a-z][a-z0-9.-]{0,62}$/
const BEARER_PREFIX = 'Bearer '
const STEP = 'admin.authorize'
/** Text format of a grant, for error messages and help texts. */
export const GRANT_FORMAT = 'NAME:reader:DIGEST, NAME:operator/TEAM:DIGEST or NAME:administrator:DIGEST'

function digest (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

/** A new token, which is shown only once, and the text of its grant to be stored. */
export interface CreatedToken {
  token: string
  grantText: string
}

/** Creates a random token for a holder. */
export function createToken (principal: Principal): CreatedToken {
  const token = randomBytes(TOKEN_BYTES).toString('base64url')
  const role = principal.role === Role.Operator ? `${principal.role}/${principal.team}` : principal.role
  return { token, grantText: `${principal.name}:${role}:${digest(token).toString('hex')}` }
}

/** Parses one grant. The InvalidInput error names the holder and the role, never the digest. */
export function parseGrant (text: string): results.Result<TokenGrant, protocol.StepError> {
  const [name = '', roleText = '', digestHex = '', ...rest] = text.split(':')
  const [roleName, team = ''] = roleText.split('/')
  const role = Object.values(Role).find(candidate => candidate === roleName)
  const isValid = rest.length === 0 && NAME_PATTERN.test(name) && DIGEST_PATTERN.test(digestHex)
  if (!isValid || role === undefined || (role === Role.Operator) !== (team !== '')) {
    return results.Err(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'admin.parseGrant', 'local', `got ${name}:${roleText}; expected ${GRANT_FORMAT}`))
  }
  return results.Ok({ principal: { name, role, team }, digestHex })
}

/** Parses grants separated by commas; returns the first error. */
export function parseGrants (text: string): results.Result<TokenGrant[], protocol.StepError> {
  const parsed = text.split(',').map(part => part.trim()).filter(part => part !== '').map(parseGrant)
  const failure = parsed.find(outcome => outcome.err)
  if (failure?.err === true) return results.Err(failure.val)
  return results.Ok(parsed.map(outcome => outcome.unwrap()))
}

/** Authenticates requests of the administration API. */
export interface AccessControl {
  /** Returns the holder of the bearer token in an Authorization header, or an Unauthorized error with the reason. */
  authenticate: (authorization: string | undefined) => results.Result<Principal, protocol.StepError>
}

/** Creates access control for stored grants. Compares every grant in constant time, so that response times reveal nothing about valid tokens. */
export function createAccessControl (grants: readonly TokenGrant[]): AccessControl {
  const entries = grants.map(grant => ({ principal: grant.principal, digest: Buffer.from(grant.digestHex, 'hex') }))
  return {
    authenticate: authorization => {
      if (entries.length === 0) return refuse('this entry has no access tokens; set --admin-tokens')
      if (authorization === undefined || !authorization.startsWith(BEARER_PREFIX)) return refuse('the request has no bearer token in its Authorization header')
      const given = digest(authorization.slice(BEARER_PREFIX.length))
      const matches = entries.filter(entry => timingSafeEqual(entry.digest, given))
      const match = matches[0]
      return match === undefined ? refuse('the token is not known to this entry') : results.Ok(match.principal)
    }
  }
}

/** Creates access control for embedded use, which treats every request as an administrator's. */
export function createOpenAccess (): AccessControl {
  return { authenticate: () => results.Ok({ name: 'dev', role: Role.Administrator, team: '' }) }
}

function refuse (message: string): results.Err<protocol.StepError> {
  return results.Err(new protocol.StepError(protocol.ErrorCode.Unauthorized, STEP, 'local', message))
}

/** Checks a holder's permission on a team. The Forbidden error names the required roles. */
export function checkPermission (principal: Principal, permission: Permission, team: string): results.Result<Principal, protocol.StepError> {
  switch (permission) {
    case Permission.Read:
      return results.Ok(principal)
    case Permission.Change:
      if (principal.role === Role.Administrator) return results.Ok(principal)
      if (principal.role === Role.Operator && principal.team === team) return results.Ok(principal)
      return results.Err(new protocol.StepError(protocol.ErrorCode.Forbidden, STEP, principal.name,
        `${principal.name} is ${describeRole(principal)}; a change of team ${team} takes its operator or an administrator`))
    default:
      return protocol.assertNever(permission)
  }
}

function describeRole (principal: Principal): string {
  return principal.role === Role.Operator ? `operator of team ${principal.team}` : `${principal.role}`
}
