/** Syntax error messages of the parser, worded for operators. */

import type { IParserErrorMessageProvider, IToken, TokenType } from 'chevrotain'

const tokenDescriptions: Readonly<Record<string, string>> = {
  Word: 'a name', String: 'a quoted string', Number: 'a number', Duration: 'a duration such as 10m', Comparison: 'a comparison operator such as =', EOF: 'the end of the statement'
}

function describeTokenType (type: TokenType | undefined): string {
  return type === undefined ? 'something else' : tokenDescriptions[type.name] ?? type.name.toLowerCase()
}

function describeToken (token: IToken | undefined): string {
  return token === undefined || token.image === '' ? 'the end of the statement' : `"${token.image}"`
}

function listFirstTokens (paths: readonly (readonly TokenType[])[]): string {
  return [...new Set(paths.map((path) => describeTokenType(path[0])))].join(', ')
}

export const parserErrorMessages: IParserErrorMessageProvider = {
  buildMismatchTokenMessage: ({ expected, actual }) => `expected ${describeTokenType(expected)}, found ${describeToken(actual)}`,
  buildNotAllInputParsedMessage: ({ firstRedundant }) => `expected the end of the statement, found ${describeToken(firstRedundant)}`,
  buildNoViableAltMessage: ({ expectedPathsPerAlt, actual }) => `expected one of: ${listFirstTokens(expectedPathsPerAlt.flat())}; found ${describeToken(actual[0])}`,
  buildEarlyExitMessage: ({ expectedIterationPaths, actual }) => `expected ${listFirstTokens(expectedIterationPaths)}, found ${describeToken(actual[0])}`
}
