// Certificates for tests, made anew each time: an authority, and what it signs.
#ifndef OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_
#define OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <memory>
#include <string>

namespace opalswitch::testing {

struct Certificate {
  std::shared_ptr<EVP_PKEY> key;
  std::shared_ptr<X509> x509;

  std::string Pem() const {
    return Text([this](BIO* bio) { PEM_write_bio_X509(bio, x509.get()); });
  }
  std::string KeyPem() const {
    return Text([this](BIO* bio) {
      PEM_write_bio_PrivateKey(bio, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
  }

 private:
  template <typename Write>
  static std::string Text(Write write) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> bio(BIO_new(BIO_s_mem()), BIO_free);
    write(bio.get());
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio.get(), &data);
    return {data, static_cast<std::size_t>(size)};
  }
};

// Valid for an hour; `name` is its DNS name too. Signed by itself if there is no `by`: then an authority.
inline Certificate MakeCertificate(const std::string& name, const Certificate* by = nullptr) {
  static long serials = 0;
  Certificate made{{EVP_EC_gen("P-256"), EVP_PKEY_free}, {X509_new(), X509_free}};
  X509* const x = made.x509.get();
  X509_set_version(x, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(x), ++serials);
  X509_gmtime_adj(X509_getm_notBefore(x), -60);
  X509_gmtime_adj(X509_getm_notAfter(x), 3600);
  X509_set_pubkey(x, made.key.get());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(x), "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(x, X509_get_subject_name(by != nullptr ? by->x509.get() : x));
  const auto extend = [&](int nid, const std::string& value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
    X509_add_ext(x, extension, -1);
    X509_EXTENSION_free(extension);
  };
  extend(NID_basic_constraints, by != nullptr ? "CA:FALSE" : "critical,CA:TRUE");
  extend(NID_subject_alt_name, "DNS:" + name);
  X509_sign(x, by != nullptr ? by->key.get() : made.key.get(), EVP_sha256());
  return made;
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_
